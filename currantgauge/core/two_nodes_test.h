// A fleet of two nodes for the tests of an entry's attempts.
//
//   State Node = makeTwoNodeFleet("north");
//   reduce(Node, Event{Now, {}, makeRequest(1)}, Effects);
#ifndef CURRANTGAUGE_CORE_TWO_NODES_TEST_H
#define CURRANTGAUGE_CORE_TWO_NODES_TEST_H

#include "currantgauge/admission/pressure.h"
#include "currantgauge/core/events_test.h"
#include "currantgauge/core/reduce.h"
#include "currantgauge/routing/registry.h"

#include <string>

namespace currantgauge::core {

inline const base::ServiceName TestService("cutlist");
inline const base::KindName TestKind("read");
inline const base::RankName TestRank("normal");
inline const base::NodeName LocalNode("a");
inline const base::NodeName PeerNode("b");
inline constexpr base::TimePoint Now{1000000};

inline config::ConfigurationPtr makeConfig() {
  auto *Config = new config::Configuration;
  Config->Services[TestService].Name = TestService;
  config::KindSettings &Read = Config->Kinds[TestKind];
  Read.Name = TestKind;
  Read.Service = TestService;
  Read.Rank = TestRank;
  Read.Deadline = base::milliseconds(500);
  Config->Ranks[TestRank].Name = TestRank;
  Config->Routes["all"] = config::RouteSettings{"all", "", "/", TestKind};
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

// makeTwoNodeFleet() returns the state of node a, which owns one server and
// knows another one, owned by node b.
inline State makeTwoNodeFleet(const std::string &OtherRegion) {
  NodeIdentity Identity;
  Identity.Name = LocalNode;
  Identity.Region = base::RegionName("north");
  Identity.Incarnation = base::Incarnation(1);
  State Node = makeState(Identity, 7);
  Node.Config.Current = makeConfig();
  EffectList Effects;
  BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName("cutlist-1");
  Announced.Announcement.Service = TestService;
  Announced.Announcement.Incarnation = base::Incarnation(1);
  Announced.Announcement.Slots = 4;
  reduce(Node, Event{base::TimePoint{1000}, {}, Announced}, Effects);
  routing::BackendRecord Record =
      Node.Routing.Servers.at(Announced.Announcement.Name).Record;
  Record.Name = base::BackendName("cutlist-2");
  Record.Owner = PeerNode;
  Record.Region = base::RegionName(OtherRegion);
  routing::mergeRecord(Node.Routing, Record, base::TimePoint{2000});
  return Node;
}

// reportPressure() reports to the entry of node a that an owner refuses that
// share of the rank.
inline void reportPressure(State &Node, const base::NodeName &Owner,
                           double RefusedShare, base::TimePoint Time) {
  Pressure Load;
  Load.Owner = Owner;
  Load.Service = TestService;
  Load.RankOrder = 0;
  Load.RefusedShare = RefusedShare;
  admission::notePressure(Node.Admission, Load, Time);
}

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_TWO_NODES_TEST_H
