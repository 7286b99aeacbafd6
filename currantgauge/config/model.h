// The fleet's configuration, as merged and checked: immutable, shared by count.
//
//   ConfigurationPtr Config = ...;
//   RouteMatch Match = matchRoute(*Config, {"a.example", "GET", "/lists/7"});
//   if (Match.Route) serve(getRequestSettings(Match));
#ifndef CURRANTGAUGE_CONFIG_MODEL_H
#define CURRANTGAUGE_CONFIG_MODEL_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/workspace_table.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantgauge::config {

// RankSettings is a rank of urgency. Order 0 is the most urgent.
struct RankSettings {
  base::RankName Name;
  std::uint32_t Order = 0;
  base::Percent Share;     // of a service's slots, kept in a flood
  base::Duration Deadline; // for kinds that set none
  double Worth = 1;        // for kinds that set none
};

// KindSettings is a kind of work.
struct KindSettings {
  base::KindName Name;
  base::ServiceName Service;
  base::RankName Rank;
  base::Duration Deadline;
  double Worth = 1;
  bool Idempotent = true;
  bool Hedge = false;
  base::PerSecond Limit; // in each node; zero: none
  base::Duration Aim;    // an answer within it is worth most; zero: not told
  std::uint32_t Attempts = 3; // backend servers that a request may be sent to
};

// ServiceSettings is a service and the healthy capacity that must remain.
struct ServiceSettings {
  base::ServiceName Name;
  base::Percent Floor{50};
  base::Duration HoldOff = base::seconds(5);
  base::Duration HoldOffLimit = base::minutes(5);
  std::uint32_t QueueLength = 200;
  base::ByteCount QueueBytes{8 * 1024 * 1024};
  base::Percent RetryBudget{10}; // retries as a share of successes
  std::string HealthPath;        // of its backend servers; empty: none
};

// ServiceShare is one part of a weighted split.
struct ServiceShare {
  base::ServiceName Service;
  std::uint32_t Weight = 0;
};

// RouteSettings maps a host, a method and a path prefix to a kind of work.
struct RouteSettings {
  std::string Name;
  std::string Method; // empty: any
  std::string Prefix; // one that ends with a slash matches only below it
  base::KindName Kind;
  std::string Host;                // in lower case, without a port; empty: any
  base::Duration Deadline;         // zero: the kind's
  std::uint32_t Attempts = 0;      // zero: the kind's
  std::vector<ServiceShare> Split; // empty: the kind's service alone
};

// CallerLimits bounds what callers may send. Zero leaves the node's own
// setting.
struct CallerLimits {
  base::ByteCount HeaderLimit;
  base::ByteCount BodyLimit;
  base::Duration ReadTimeout; // of one request's header
  base::Duration IdleTimeout; // of a connection between requests
};

// LinkSettings bounds what this fleet sends between two regions.
struct LinkSettings {
  base::ByteCount BytesPerSecond; // a node's share; zero: no limit
};

// PlacementSettings weighs the way to a backend server against its load. Costs
// are in loads: 1 is as much work as a server has slots.
struct PlacementSettings {
  double OtherNodeCost = 0;      // a hop to another VM
  double OtherDomainCost = 0.25; // and into another failure domain
  double OtherRegionCost = 1; // of work of worth 1, into another region; work
                              // of worth 10 goes at a tenth of it
};

// Configuration is one accepted version of it all.
struct Configuration
    : boost::intrusive_ref_counter<Configuration, boost::thread_safe_counter> {
  std::map<base::RankName, RankSettings> Ranks;
  std::map<base::ServiceName, ServiceSettings> Services;
  std::map<base::KindName, KindSettings> Kinds;
  std::map<std::string, RouteSettings> Routes; // by route name
  WorkspaceTable Workspaces;
  LinkSettings Link;
  PlacementSettings Placement;
  CallerLimits Callers;
  bool AcceptUnlistedWorkspaces =
      true; // accept requests of workspaces not listed

  // Derived by indexRoutes(): longest prefix wins, then a route with a host,
  // then one with a method.
  std::map<std::string, std::vector<const RouteSettings *>, std::less<>>
      RoutesByPrefix;
};

using ConfigurationPtr = boost::intrusive_ptr<const Configuration>;

// indexRoutes() fills RoutesByPrefix. Call it once, when the maps are complete.
void indexRoutes(Configuration &Config);

// RouteQuery is what a route is chosen by. Path may have a query part.
struct RouteQuery {
  std::string_view Host; // as in RouteSettings
  std::string_view Method;
  std::string_view Path;
};

// RouteMatch is a route and its kind of work; both are null when none matches.
struct RouteMatch {
  const RouteSettings *Route = nullptr;
  const KindSettings *Kind = nullptr;
};

// matchRoute() returns the route of a request.
RouteMatch matchRoute(const Configuration &Config, const RouteQuery &Query);

// findKind() returns the kind of work of a request that names no host, null
// when no route matches.
const KindSettings *findKind(const Configuration &Config,
                             std::string_view Method, std::string_view Path);

// getRequestSettings() returns the kind's settings with those of the route.
// Draw in [0, 1) picks the service of a split route.
KindSettings getRequestSettings(const RouteMatch &Match, double Draw);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_MODEL_H
