#include "currantgauge/routing/registry.h"

#include "currantgauge/routing/departures.h"

#include <algorithm>
#include <tuple>

namespace currantgauge::routing {
namespace {

// Ignores ColdStart: announcements carry the remaining time of the cold start,
// which falls with each one. Only the first of an incarnation counts.
bool matchesAnnouncement(const BackendRecord &Record,
                         const Announcement &Announced) {
  return std::tie(Record.Service, Record.Address, Record.Incarnation,
                  Record.Slots, Record.Phase) ==
         std::tie(Announced.Service, Announced.Address, Announced.Incarnation,
                  Announced.Slots, Announced.Phase);
}

bool sharesAddress(const RoutingState &State, const BackendServer &Server,
                   const Announcement &Announced) {
  return Server.Record.Name != Announced.Name &&
         Server.Record.Owner == State.Self &&
         Server.Record.Address == Announced.Address;
}

void markGone(RoutingState &State, BackendServer &Server) {
  Server.Record.Phase = BackendPhase::Gone;
  ++Server.Record.Revision;
  markStale(State, Server.Record.Service);
}

void takeOwnership(RoutingState &State, BackendRecord &Record) {
  Record.Owner = State.Self;
  Record.Region = State.Region;
  Record.Domain = State.Domain;
  State.Owned.insert(Record.Name);
}

// An announcement with phase Gone may carry no more than the server's name.
bool applyGoneAnnouncement(RoutingState &State, const Announcement &Announced,
                           base::TimePoint Now) {
  auto It = State.Servers.find(Announced.Name);
  bool IsKnown = It != State.Servers.end();
  base::Incarnation Incarnation = Announced.Incarnation;
  if (IsKnown && Incarnation == base::Incarnation())
    Incarnation = It->second.Record.Incarnation;
  noteDeparture(State, Announced.Name, Incarnation, BackendPhase::Gone, Now);
  if (!IsKnown || Incarnation < It->second.Record.Incarnation ||
      It->second.Record.Departed)
    return false;
  It->second.Record.Departed = true;
  takeOwnership(State, It->second.Record);
  markGone(State, It->second);
  return true;
}

void fillRecord(BackendRecord &Record, const Announcement &Announced) {
  Record.Name = Announced.Name;
  Record.Service = Announced.Service;
  Record.Address = Announced.Address;
  Record.Incarnation = Announced.Incarnation;
  Record.Slots = Announced.Slots;
  Record.Phase = Announced.Phase;
  Record.Departed = false;
  ++Record.Revision;
}

// Another server may use the name later.
void forgetExchanges(RoutingState &State, const base::BackendName &Name) {
  State.Breakers.erase(Name);
  State.Spells.erase(Name);
}

// Usual times and failure shares change often but matter only to owners, so
// that routing sets don't depend on them.
bool changesRouting(const BackendRecord &Old, const BackendRecord &New) {
  return std::tie(Old.Service, Old.Owner, Old.Region, Old.Incarnation,
                  Old.Slots, Old.Phase, Old.Suspicion) !=
         std::tie(New.Service, New.Owner, New.Region, New.Incarnation,
                  New.Slots, New.Phase, New.Suspicion);
}

} // namespace

IgnoreReason reasonToIgnore(const RoutingState &State,
                            const Announcement &Announced,
                            base::TimePoint Now) {
  if (Announced.Phase == BackendPhase::Gone)
    return IgnoreReason::None;
  auto It = State.Servers.find(Announced.Name);
  const BackendServer *Known =
      It == State.Servers.end() ? nullptr : &It->second;
  if (Known && Announced.Incarnation < Known->Record.Incarnation)
    return IgnoreReason::OlderIncarnation;
  bool IsSameProcess =
      Known && Announced.Incarnation == Known->Record.Incarnation;
  bool IsOwned = IsSameProcess && Known->Record.Owner == State.Self;
  BackendPhase Departed =
      departedPhase(State, Announced.Name, Announced.Incarnation, Now);
  if (Departed == BackendPhase::Gone || (IsOwned && Known->Replaced))
    return IgnoreReason::AnnouncedGone;
  if (Announced.Phase == BackendPhase::Leaving)
    return IgnoreReason::None;
  if (IsOwned && Announced.Sequence != 0 &&
      Announced.Sequence <= Known->Sequence)
    return IgnoreReason::OlderSequence;
  if (Departed == BackendPhase::Leaving ||
      (IsSameProcess && Known->Record.Phase == BackendPhase::Leaving))
    return IgnoreReason::AnnouncedLeaving;
  return IgnoreReason::None;
}

bool applyAnnouncement(RoutingState &State, const Announcement &Announced,
                       base::TimePoint Now) {
  if (Announced.Phase == BackendPhase::Gone)
    return applyGoneAnnouncement(State, Announced, Now);
  IgnoreReason Ignored = reasonToIgnore(State, Announced, Now);
  if (Ignored != IgnoreReason::None &&
      Ignored != IgnoreReason::AnnouncedLeaving)
    return false;
  BackendServer &Server = State.Servers[Announced.Name];
  bool IsKnown = !Server.Record.Name.empty();
  bool IsOwned = IsKnown && Server.Record.Owner == State.Self;
  bool NewIncarnation =
      !IsKnown || Server.Record.Incarnation != Announced.Incarnation;
  Server.LeaseEnds = Now + State.Lease;
  Server.Sequence = NewIncarnation
                        ? Announced.Sequence
                        : std::max(Server.Sequence, Announced.Sequence);
  Announcement Effective = Announced;
  if (Ignored == IgnoreReason::AnnouncedLeaving)
    Effective.Phase = BackendPhase::Leaving;
  if (Effective.Phase == BackendPhase::Leaving)
    noteDeparture(State, Announced.Name, Announced.Incarnation,
                  BackendPhase::Leaving, Now);
  if (IsOwned && matchesAnnouncement(Server.Record, Effective))
    return false;
  if (NewIncarnation) {
    forgetExchanges(State, Announced.Name);
    Server.ReadySince = Now;
    Server.Record.ColdStart = Announced.ColdStart;
    Server.Replaced = false;
  }
  if (IsKnown && Server.Record.Service != Announced.Service)
    State.ByService[Server.Record.Service].erase(Announced.Name);
  markStale(State, Server.Record.Service);
  markStale(State, Announced.Service);
  fillRecord(Server.Record, Effective);
  takeOwnership(State, Server.Record);
  State.ByService[Announced.Service].insert(Announced.Name);
  return true;
}

std::vector<BackendRecord>
retireReplacedServers(RoutingState &State, const Announcement &Announced) {
  std::vector<BackendRecord> GoneRecords;
  if (Announced.Phase == BackendPhase::Gone || Announced.Address.empty())
    return GoneRecords;
  for (const base::BackendName &Name : State.Owned) {
    BackendServer &Server = State.Servers.at(Name);
    if (!sharesAddress(State, Server, Announced) ||
        Server.Record.Phase == BackendPhase::Gone ||
        Server.Record.Incarnation >= Announced.Incarnation)
      continue;
    markGone(State, Server);
    Server.Replaced = true;
    GoneRecords.push_back(Server.Record);
  }
  return GoneRecords;
}

bool isSuperseded(const RoutingState &State, const Announcement &Announced) {
  if (Announced.Phase == BackendPhase::Gone || Announced.Address.empty())
    return false;
  for (const base::BackendName &Name : State.Owned) {
    const BackendServer &Server = State.Servers.at(Name);
    if (sharesAddress(State, Server, Announced) &&
        Announced.Incarnation < Server.Record.Incarnation)
      return true;
  }
  return false;
}

bool markAbsent(RoutingState &State, const base::BackendName &Name) {
  auto It = State.Servers.find(Name);
  if (It == State.Servers.end() || It->second.Record.Owner != State.Self ||
      It->second.Record.Phase == BackendPhase::Gone)
    return false;
  markGone(State, It->second);
  return true;
}

bool markDeparted(RoutingState &State, const base::BackendName &Name,
                  base::TimePoint Now) {
  auto It = State.Servers.find(Name);
  if (It == State.Servers.end() || It->second.Record.Owner != State.Self ||
      It->second.Record.Phase != BackendPhase::Ready ||
      departedPhase(State, Name, It->second.Record.Incarnation, Now) ==
          BackendPhase::Ready)
    return false;
  It->second.Record.Phase = BackendPhase::Leaving;
  ++It->second.Record.Revision;
  markStale(State, It->second.Record.Service);
  return true;
}

std::vector<BackendRecord> expireLeases(RoutingState &State,
                                        base::TimePoint Now) {
  std::vector<BackendRecord> GoneRecords;
  for (const base::BackendName &Name : State.Owned) {
    BackendServer &Server = State.Servers[Name];
    if (Server.LeaseEnds > Now || Server.Record.Phase == BackendPhase::Gone)
      continue;
    markGone(State, Server);
    GoneRecords.push_back(Server.Record);
  }
  return GoneRecords;
}

bool mergeRecord(RoutingState &State, const BackendRecord &Record,
                 base::TimePoint Now) {
  if (Record.Owner == State.Self)
    return false;
  BackendServer &Server = State.Servers[Record.Name];
  bool IsKnown = !Server.Record.Name.empty();
  if (IsKnown &&
      std::tie(Record.Incarnation, Record.Revision) <=
          std::tie(Server.Record.Incarnation, Server.Record.Revision))
    return false;
  if (IsKnown && Server.Record.Service != Record.Service)
    State.ByService[Server.Record.Service].erase(Record.Name);
  if (!IsKnown || Server.Record.Incarnation != Record.Incarnation)
    Server.ReadySince = Now;
  if (changesRouting(Server.Record, Record)) {
    markStale(State, Server.Record.Service);
    markStale(State, Record.Service);
  }
  Server.Record = Record;
  State.ByService[Record.Service].insert(Record.Name);
  State.Owned.erase(Record.Name);
  return true;
}

void removeServer(RoutingState &State, const base::BackendName &Name) {
  auto It = State.Servers.find(Name);
  if (It == State.Servers.end())
    return;
  markStale(State, It->second.Record.Service);
  State.ByService[It->second.Record.Service].erase(Name);
  State.Owned.erase(Name);
  forgetExchanges(State, It->first);
  State.Servers.erase(It);
}

BackendRecord disownServer(RoutingState &State, BackendRecord Record) {
  Record.Phase = BackendPhase::Gone;
  ++Record.Revision;
  markStale(State, Record.Service);
  State.ByService[Record.Service].insert(Record.Name);
  State.Servers[Record.Name].Record = Record;
  return Record;
}

void removeServersOfOwner(RoutingState &State, const base::NodeName &Owner) {
  for (auto It = State.Servers.begin(); It != State.Servers.end();) {
    if (It->second.Record.Owner != Owner) {
      ++It;
      continue;
    }
    State.ByService[It->second.Record.Service].erase(It->first);
    markStale(State, It->second.Record.Service);
    forgetExchanges(State, It->first);
    It = State.Servers.erase(It);
  }
}

} // namespace currantgauge::routing
