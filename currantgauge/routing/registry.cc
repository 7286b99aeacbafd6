#include "currantgauge/routing/registry.h"

#include <tuple>

namespace currantgauge::routing {
namespace {

bool sameWord(const BackendRecord &Record, const Announcement &Word) {
  return std::tie(Record.Service, Record.Address, Record.Life, Record.Slots,
                  Record.Phase, Record.ColdStart) ==
         std::tie(Word.Service, Word.Address, Word.Life, Word.Slots, Word.Phase,
                  Word.ColdStart);
}

void fillRecord(BackendRecord &Record, const Announcement &Word,
                const RoutingState &State) {
  Record.Name = Word.Name;
  Record.Service = Word.Service;
  Record.Owner = State.Self;
  Record.Region = State.Region;
  Record.Domain = State.Domain;
  Record.Address = Word.Address;
  Record.Life = Word.Life;
  Record.Slots = Word.Slots;
  Record.Phase = Word.Phase;
  Record.ColdStart = Word.ColdStart;
  ++Record.Revision;
}

// Usual times and failure shares change often and matter to owners alone.
bool changesRouting(const BackendRecord &Old, const BackendRecord &New) {
  return std::tie(Old.Service, Old.Owner, Old.Region, Old.Life, Old.Slots,
                  Old.Phase, Old.Suspicion) !=
         std::tie(New.Service, New.Owner, New.Region, New.Life, New.Slots,
                  New.Phase, New.Suspicion);
}

} // namespace

bool announce(RoutingState &State, const Announcement &Word,
              base::TimePoint Now) {
  BackendServer &Server = State.Servers[Word.Name];
  bool Known = !Server.Record.Name.empty();
  if (Known && Word.Life < Server.Record.Life)
    return false;
  Server.LeaseEnds = Now + LeaseTime;
  bool Owned = Known && Server.Record.Owner == State.Self;
  if (Owned && sameWord(Server.Record, Word))
    return false;
  if (!Known || Server.Record.Life != Word.Life)
    Server.ReadySince = Now;
  if (Known && Server.Record.Service != Word.Service)
    State.ByService[Server.Record.Service].erase(Word.Name);
  markStale(State, Server.Record.Service);
  markStale(State, Word.Service);
  fillRecord(Server.Record, Word, State);
  State.ByService[Word.Service].insert(Word.Name);
  State.Owned.insert(Word.Name);
  return true;
}

std::vector<BackendRecord> expireLeases(RoutingState &State,
                                        base::TimePoint Now) {
  std::vector<BackendRecord> Gone;
  for (const base::BackendName &Name : State.Owned) {
    BackendServer &Server = State.Servers[Name];
    if (Server.LeaseEnds > Now || Server.Record.Phase == BackendPhase::Gone)
      continue;
    Server.Record.Phase = BackendPhase::Gone;
    markStale(State, Server.Record.Service);
    ++Server.Record.Revision;
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
  if (Known && std::tie(Record.Life, Record.Revision) <=
                   std::tie(Server.Record.Life, Server.Record.Revision))
    return false;
  if (Known && Server.Record.Service != Record.Service)
    State.ByService[Server.Record.Service].erase(Record.Name);
  if (!Known || Server.Record.Life != Record.Life)
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

void forgetServer(RoutingState &State, const base::BackendName &Name) {
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

void forgetOwner(RoutingState &State, const base::NodeName &Owner) {
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
