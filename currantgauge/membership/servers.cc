#include "currantgauge/membership/servers.h"

#include "currantgauge/membership/digest.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/routing/departures.h"
#include "currantgauge/routing/registry.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace currantgauge::membership {
namespace {

// A server's record may arrive before that of its owner. If the owner's doesn't
// follow in this time, all servers of that owner are forgotten.
constexpr base::Duration UnknownOwnerTimeout = base::seconds(30);

const routing::BackendServer *findServer(const core::State &Node,
                                         const base::BackendName &Name) {
  auto It = Node.Routing.Servers.find(Name);
  return It == Node.Routing.Servers.end() ? nullptr : &It->second;
}

// Other nodes attribute a server to this node, as an earlier process of it did.
// A departure that was announced to that process holds here too; a server that
// is gone without one may have been absent. An unknown server may announce
// itself here again until its lease would have expired.
void noteOrphan(core::State &Node, const routing::BackendRecord &Record) {
  bool IsGone = Record.Phase == routing::BackendPhase::Gone;
  if (IsGone && !Record.Departed)
    return;
  if (IsGone || Record.Phase == routing::BackendPhase::Leaving)
    routing::noteDeparture(Node.Routing, Record.Name, Record.Incarnation,
                           Record.Phase, Node.Now);
  const routing::BackendServer *Known = findServer(Node, Record.Name);
  if (!Known && !IsGone)
    Node.Membership.Orphans[Record.Name] = Record;
  if (Known && routing::markDeparted(Node.Routing, Record.Name, Node.Now))
    queueRumour(Node.Membership, Known->Record);
}

bool isSameVersion(const routing::BackendRecord &A,
                   const routing::BackendRecord &B) {
  return A.Incarnation == B.Incarnation && A.Revision == B.Revision &&
         A.Owner == B.Owner;
}

// Returns whether a change can be piggybacked. The incarnation, owner, address,
// phase and slots of a server, and that it has become suspect, must spread at
// once. Other changes of its health reach the nodes that use it with its
// responses and by reports of its owner.
bool isDeferrable(const routing::BackendRecord &Old,
                  const routing::BackendRecord &New) {
  bool BecomesSuspect = New.Suspicion >= 1 && Old.Suspicion < 1;
  return !BecomesSuspect && Old.Incarnation == New.Incarnation &&
         Old.Phase == New.Phase && Old.Owner == New.Owner &&
         Old.Address == New.Address && Old.Slots == New.Slots;
}

bool endsQuarantine(const QuarantineRecord &Cleared,
                    const QuarantineRecord &Open) {
  return Cleared.Cleared && !Open.Cleared && Cleared.Since >= Open.Since;
}

} // namespace

bool mergeBackend(core::State &Node, const routing::BackendRecord &Record,
                  RumourPriority Priority) {
  MembershipState &State = Node.Membership;
  if (Record.Owner == State.Self.Name) {
    noteOrphan(Node, Record);
    return false;
  }
  const Member *Owner = findMember(State, Record.Owner);
  if (Owner && !isLive(Owner->Record.Phase))
    return false;
  const routing::BackendServer *Known = findServer(Node, Record.Name);
  if (Known && isSameVersion(Known->Record, Record)) {
    noteDuplicate(State, keyOf(Record));
    return false;
  }
  bool Deferrable = Known && isDeferrable(Known->Record, Record);
  if (!routing::mergeRecord(Node.Routing, Record, Node.Now))
    return false;
  if (Deferrable)
    Priority = RumourPriority::Deferred;
  else if (Known)
    Priority = std::min(Priority, RumourPriority::Deferred);
  if (!Owner)
    State.UnknownOwners.try_emplace(Record.Owner,
                                    Node.Now + UnknownOwnerTimeout);
  queueRumour(State, Record, Priority);
  return true;
}

bool mergeQuarantine(std::map<base::Fingerprint, QuarantineRecord> &Table,
                     const QuarantineRecord &Record) {
  auto [It, IsNew] = Table.try_emplace(Record.Fingerprint, Record);
  QuarantineRecord &Known = It->second;
  if (IsNew)
    return true;
  if (Known.Cleared != Record.Cleared) {
    const QuarantineRecord &Cleared = Known.Cleared ? Known : Record;
    const QuarantineRecord &Open = Known.Cleared ? Record : Known;
    bool ReplacesKnown =
        endsQuarantine(Cleared, Open) ? Record.Cleared : Known.Cleared;
    if (ReplacesKnown)
      Known = Record;
    return ReplacesKnown;
  }
  std::vector<ServerCrash> Crashes = Known.Crashes;
  Crashes.insert(Crashes.end(), Record.Crashes.begin(), Record.Crashes.end());
  std::sort(Crashes.begin(), Crashes.end());
  Crashes.erase(std::unique(Crashes.begin(), Crashes.end()), Crashes.end());
  base::UnixTime Since = std::max(Known.Since, Record.Since);
  bool Changed = Crashes != Known.Crashes || Since != Known.Since;
  Known.Crashes = std::move(Crashes);
  Known.Since = Since;
  return Changed;
}

bool mergeQuarantine(core::State &Node, const QuarantineRecord &Record,
                     RumourPriority Priority) {
  if (!mergeQuarantine(Node.Actions.Quarantine, Record))
    return false;
  queueRumour(Node.Membership, Node.Actions.Quarantine.at(Record.Fingerprint),
              Priority);
  return true;
}

void updateServerDigests(core::State &Node, const base::NodeName &Owner) {
  auto It = Node.Membership.ServersByOwner.find(Owner);
  if (It == Node.Membership.ServersByOwner.end())
    return;
  std::erase_if(It->second, [&](const base::BackendName &Name) {
    const routing::BackendServer *Server = findServer(Node, Name);
    if (!Server || Server->Record.Owner != Owner)
      return true;
    updateDigest(Node.Membership, Server->Record);
    return false;
  });
}

void forgetServers(core::State &Node, const base::NodeName &Owner) {
  auto It = Node.Membership.ServersByOwner.find(Owner);
  if (It == Node.Membership.ServersByOwner.end())
    return;
  for (const base::BackendName &Name : It->second) {
    const routing::BackendServer *Server = findServer(Node, Name);
    if (!Server || Server->Record.Owner != Owner)
      continue;
    removeFromDigest(Node.Membership, keyOf(Server->Record));
    routing::removeServer(Node.Routing, Name);
  }
  Node.Membership.ServersByOwner.erase(It);
}

void announceOrphansGone(core::State &Node) {
  MembershipState &State = Node.Membership;
  if (Node.Now < State.OrphansDeadline)
    return;
  for (const auto &[Name, Record] : std::exchange(State.Orphans, {}))
    if (!findServer(Node, Name))
      queueRumour(State, routing::disownServer(Node.Routing, Record));
}

void forgetExpiredServers(core::State &Node) {
  MembershipState &State = Node.Membership;
  for (auto It = State.UnknownOwners.begin();
       It != State.UnknownOwners.end();) {
    if (It->second > Node.Now) {
      ++It;
      continue;
    }
    forgetServers(Node, It->first);
    It = State.UnknownOwners.erase(It);
  }
  while (!State.GoneServers.empty() &&
         State.GoneServers.begin()->first <= Node.Now) {
    base::BackendName Name = State.GoneServers.begin()->second;
    State.GoneServers.erase(State.GoneServers.begin());
    const routing::BackendServer *Server = findServer(Node, Name);
    if (Server && Server->Record.Phase == routing::BackendPhase::Gone)
      routing::removeServer(Node.Routing, Name);
  }
}

} // namespace currantgauge::membership
