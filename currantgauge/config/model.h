// The fleet's configuration, as merged and checked: immutable, shared by count.
//
//   ConfigurationPtr Config = ...;
//   const KindSettings *Kind = findRoute(*Config, "GET", "/lists/7");
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
};

// RouteSettings maps a method and a path prefix to a kind of work.
struct RouteSettings {
  std::string Name;
  std::string Method; // empty: any
  std::string Prefix;
  base::KindName Kind;
};

// LinkSettings bounds what this fleet sends between two regions.
struct LinkSettings {
  base::ByteCount BytesPerSecond; // a node's share; zero: no limit
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
  bool AnyWorkspace = true; // accept requests of workspaces not listed

  // Derived by indexRoutes(): longest prefix wins, then a route with a method.
  std::map<std::string, std::vector<const RouteSettings *>, std::less<>>
      ByPrefix;
};

using ConfigurationPtr = boost::intrusive_ptr<const Configuration>;

// indexRoutes() fills ByPrefix. Call it once, when the maps are complete.
void indexRoutes(Configuration &Config);

// findRoute() returns the kind of work of a request, null when none matches.
const KindSettings *findRoute(const Configuration &Config,
                              std::string_view Method, std::string_view Path);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_MODEL_H
