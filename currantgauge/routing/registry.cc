#include "currantgauge/routing/registry.h"

#include <tuple>

namespace currantgauge::routing {
namespace {

// What is left of a cold start falls with each word; the first one of a life
// tells it.
bool sameWord(const BackendRecord &Record, const Announcement &Word) {
  return std::tie(Record.Service, Record.Address, Record.Incarnation,
                  Record.Slots, Record.Phase) ==
         std::tie(Word.Service, Word.Address, Word.Incarnation, Word.Slots,
                  Word.Phase);
}

bool isOldWord(const BackendServer &Server, const Announcement &Word) {
  if (Word.Incarnation != Server.Record.Incarnation)
    return Word.Incarnation < Server.Record.Incarnation;
  return Server.AnnouncedGone ||
         (Word.Sequence != 0 && Word.Sequence <= Server.Sequence);
}

bool sharesAddress(const RoutingState &State, const BackendServer &Server,
                   const Announcement &Word) {
  return Server.Record.Name != Word.Name && Server.Record.Owner == State.Self &&
         Server.Record.Address == Word.Address;
}

void markGone(RoutingState &State, BackendServer &Server) {
  Server.Record.Phase = BackendPhase::Gone;
  ++Server.Record.Revision;
  markStale(State, Server.Record.Service);
}

// A farewell names nothing but the server.
bool takeFarewell(RoutingState &State, const Announcement &Word) {
  auto Found = State.Servers.find(Word.Name);
  if (Found == State.Servers.end() ||
      Found->second.Record.Owner != State.Self ||
      (Word.Incarnation != base::Incarnation() &&
       Word.Incarnation < Found->second.Record.Incarnation))
    return false;
  Found->second.AnnouncedGone = true;
  if (Found->second.Record.Phase == BackendPhase::Gone)
    return false;
  markGone(State, Found->second);
  return true;
}

void fillRecord(BackendRecord &Record, const Announcement &Word,
                const RoutingState &State) {
  Record.Name = Word.Name;
  Record.Service = Word.Service;
  Record.Owner = State.Self;
  Record.Region = State.Region;
  Record.Domain = State.Domain;
  Record.Address = Word.Address;
  Record.Incarnation = Word.Incarnation;
  Record.Slots = Word.Slots;
  Record.Phase = Word.Phase;
  ++Record.Revision;
}

// Usual times and failure shares change often and matter to owners alone.
bool changesRouting(const BackendRecord &Old, const BackendRecord &New) {
  return std::tie(Old.Service, Old.Owner, Old.Region, Old.Incarnation,
                  Old.Slots, Old.Phase, Old.Suspicion) !=
         std::tie(New.Service, New.Owner, New.Region, New.Incarnation,
                  New.Slots, New.Phase, New.Suspicion);
}

} // namespace

bool applyAnnouncement(RoutingState &State, const Announcement &Word,
                       base::TimePoint Now) {
  if (Word.Phase == BackendPhase::Gone)
    return takeFarewell(State, Word);
  BackendServer &Server = State.Servers[Word.Name];
  bool Known = !Server.Record.Name.empty();
  bool Owned = Known && Server.Record.Owner == State.Self;
  if (Known && (Owned ? isOldWord(Server, Word)
                      : Word.Incarnation < Server.Record.Incarnation))
    return false;
  bool NewLife = !Known || Server.Record.Incarnation != Word.Incarnation;
  Server.LeaseEnds = Now + State.Lease;
  Server.Sequence = Word.Sequence;
  Announcement Kept = Word;
  if (!NewLife && Owned && Server.Record.Phase == BackendPhase::Leaving)
    Kept.Phase = BackendPhase::Leaving;
  if (Owned && sameWord(Server.Record, Kept))
    return false;
  if (NewLife) {
    State.Breakers.erase(Word.Name);
    Server.ReadySince = Now;
    Server.Record.ColdStart = Word.ColdStart;
    Server.AnnouncedGone = false;
  }
  if (Known && Server.Record.Service != Word.Service)
    State.ByService[Server.Record.Service].erase(Word.Name);
  markStale(State, Server.Record.Service);
  markStale(State, Word.Service);
  fillRecord(Server.Record, Kept, State);
  State.ByService[Word.Service].insert(Word.Name);
  State.Owned.insert(Word.Name);
  return true;
}

std::vector<BackendRecord> retireReplacedServers(RoutingState &State,
                                                 const Announcement &Word) {
  std::vector<BackendRecord> Gone;
  if (Word.Phase == BackendPhase::Gone || Word.Address.empty())
    return Gone;
  for (const base::BackendName &Name : State.Owned) {
    BackendServer &Server = State.Servers.at(Name);
    if (!sharesAddress(State, Server, Word) ||
        Server.Record.Phase == BackendPhase::Gone ||
        Server.Record.Incarnation >= Word.Incarnation)
      continue;
    markGone(State, Server);
    Server.AnnouncedGone = true;
    Gone.push_back(Server.Record);
  }
  return Gone;
}

bool isSuperseded(const RoutingState &State, const Announcement &Word) {
  if (Word.Phase == BackendPhase::Gone || Word.Address.empty())
    return false;
  for (const base::BackendName &Name : State.Owned) {
    const BackendServer &Server = State.Servers.at(Name);
    if (sharesAddress(State, Server, Word) &&
        Word.Incarnation < Server.Record.Incarnation)
      return true;
  }
  return false;
}

bool markAbsent(RoutingState &State, const base::BackendName &Name) {
  auto Found = State.Servers.find(Name);
  if (Found == State.Servers.end() ||
      Found->second.Record.Owner != State.Self ||
      Found->second.Record.Phase == BackendPhase::Gone)
    return false;
  markGone(State, Found->second);
  return true;
}

std::vector<BackendRecord> expireLeases(RoutingState &State,
                                        base::TimePoint Now) {
  std::vector<BackendRecord> Gone;
  for (const base::BackendName &Name : State.Owned) {
    BackendServer &Server = State.Servers[Name];
    if (Server.LeaseEnds > Now || Server.Record.Phase == BackendPhase::Gone)
      continue;
    markGone(State, Server);
    Gone.push_back(Server.Record);
  }
  return Gone;
}

bool mergeRecord(RoutingState &State, const BackendRecord &Record,
                 base::TimePoint Now) {
  if (Record.Owner == State.Self)
    return false;
  BackendServer &Server = State.Servers[Record.Name];
  bool Known = !Server.Record.Name.empty();
  if (Known && std::tie(Record.Incarnation, Record.Revision) <=
                   std::tie(Server.Record.Incarnation, Server.Record.Revision))
    return false;
  if (Known && Server.Record.Service != Record.Service)
    State.ByService[Server.Record.Service].erase(Record.Name);
  if (!Known || Server.Record.Incarnation != Record.Incarnation)
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
  auto Found = State.Servers.find(Name);
  if (Found == State.Servers.end())
    return;
  markStale(State, Found->second.Record.Service);
  State.ByService[Found->second.Record.Service].erase(Name);
  State.Owned.erase(Name);
  State.Servers.erase(Found);
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
    It = State.Servers.erase(It);
  }
}

} // namespace currantgauge::routing
