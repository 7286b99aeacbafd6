// The fleet's configuration after merging and validation. It is immutable and
// reference-counted.
//
//   ConfigurationPtr Config = ...;
//   RouteMatch Match = matchRoute(*Config, {"a.example", "GET", "/lists/7"});
//   if (Match.Route) serve(getRequestSettings(Match, Draw));
#ifndef CURRANTGAUGE_CONFIG_MODEL_H
#define CURRANTGAUGE_CONFIG_MODEL_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/workspace_table.h"
#include "currantgauge/identity/key_table.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantgauge::config {

// RankSettings is a rank, a priority class of kinds. Order 0 is the most
// urgent.
struct RankSettings {
  base::RankName Name;
  std::uint32_t Order = 0;
  base::Percent Share;     // guaranteed part of a service's slots and queue
  base::Duration Deadline; // of kinds that set none
  double Worth = 1;        // of kinds that set none; see KindSettings
};

// KindSettings is a kind of work: requests that are treated alike.
struct KindSettings {
  base::KindName Name;
  base::ServiceName Service;
  base::RankName Rank;
  base::Duration Deadline; // maximum time from arrival to answer
  double Worth = 1;        // divides OtherRegionCost
  bool Idempotent = true;
  bool Hedge = false;
  base::PerSecond Limit;      // requests at each node; zero: unlimited
  base::Duration Aim;         // target response time; zero: none
  std::uint32_t Attempts = 3; // maximum that may reach a backend server
};

// ServiceSettings is a service: queue, retry budget, and rules for ejecting its
// backend servers. An ejected one gets no requests during its hold-off.
struct ServiceSettings {
  base::ServiceName Name;
  base::Percent Floor{50}; // minimum share of slots that stays in rotation
  base::Duration HoldOff = base::seconds(5); // doubled by repeated ejections
  base::Duration HoldOffLimit = base::minutes(5);
  std::uint32_t QueueLength = 200;
  base::ByteCount QueueBytes{8 * 1024 * 1024};
  base::Percent RetryBudget{10}; // retries as a share of successes, by rank
  std::string HealthPath;        // at its backend servers; empty: none
};

// ServiceShare is a service and its weight in a split route.
struct ServiceShare {
  base::ServiceName Service;
  std::uint32_t Weight = 0;
};

// RouteSettings maps a host, a method and a path prefix to a kind of work.
struct RouteSettings {
  std::string Name;
  std::string Method; // empty: any
  std::string Prefix; // "/a/" matches "/a/b" but not "/a"
  base::KindName Kind;
  std::string Host;                // in lower case, without a port; empty: any
  base::Duration Deadline;         // zero: use the kind's
  std::uint32_t Attempts = 0;      // zero: use the kind's
  std::vector<ServiceShare> Split; // empty: use the kind's service
  bool Public = false;             // needs no key, see RequiresKeys
};

// CallerLimits limits callers' requests and connections. If a field is zero,
// the node's own setting applies.
struct CallerLimits {
  base::ByteCount HeaderLimit;
  base::ByteCount BodyLimit;
  base::Duration ReadTimeout; // to receive one request
  base::Duration IdleTimeout; // between requests, and per write
};

// LinkSettings limits a node's traffic over the link between regions.
struct LinkSettings {
  base::ByteCount BytesPerSecond; // per node; zero: unlimited
};

// PlacementSettings holds the costs of sending a request to a distant backend
// server. They are added to the server's load, which is 1 if it runs as many
// requests as it has slots.
struct PlacementSettings {
  double OtherNodeCost = 0;      // the server belongs to another node
  double OtherDomainCost = 0.25; // added in another failure domain
  // Of a server in another region, for a request of worth 1. It is divided by
  // the worth.
  double OtherRegionCost = 1;
};

// Configuration is one version of the fleet's configuration.
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
  bool AcceptUnlistedWorkspaces = true;
  // Callers are identified by keys of workspaces, except on public routes.
  bool RequiresKeys = false;
  identity::KeyTable Keys; // of Workspaces

  // Filled by indexRoutes().
  std::map<std::string, std::vector<const RouteSettings *>, std::less<>>
      RoutesByPrefix;
};

using ConfigurationPtr = boost::intrusive_ptr<const Configuration>;

// indexRoutes() fills RoutesByPrefix from Routes. Call it once, when Routes is
// complete.
void indexRoutes(Configuration &Config);

// RouteQuery holds the fields of a request that select its route. Path may have
// a query part.
struct RouteQuery {
  std::string_view Host; // as in RouteSettings
  std::string_view Method;
  std::string_view Path;
};

// RouteMatch is a route and its kind of work. Both are null if no route
// matches.
struct RouteMatch {
  const RouteSettings *Route = nullptr;
  const KindSettings *Kind = nullptr;
};

// matchRoute() returns the route of a request: the one with the longest prefix,
// among these one with the host before one without, then one with the method
// before one without.
RouteMatch matchRoute(const Configuration &Config, const RouteQuery &Query);

// findKind() returns the kind of work of a request without a host, null if no
// route matches.
const KindSettings *findKind(const Configuration &Config,
                             std::string_view Method, std::string_view Path);

// getRequestSettings() returns the kind's settings, overridden by those of the
// route. Match must hold a route. Draw, a random number in [0, 1), selects the
// service of a split route.
KindSettings getRequestSettings(const RouteMatch &Match, double Draw);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_MODEL_H
