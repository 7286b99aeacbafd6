#include "currantgauge/core/entry_attempts.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/admission/entry.h"
#include "currantgauge/core/owner.h"
#include "currantgauge/core/request_log.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/routing/choose.h"
#include "currantgauge/routing/health.h"

#include <utility>
#include <vector>

namespace currantgauge::core {
namespace {

constexpr std::uint32_t MaxReferrals = 4; // per request
constexpr std::size_t MaxCandidates = 4;  // servers considered per attempt
// Per request. Each return costs a network round trip, but also reports the
// load of one more owner.
constexpr std::uint32_t MaxLongWaitReturns = 2;
// Later attempts are final: the request would run out of attempts otherwise.
constexpr std::uint32_t MaxReturnableAttempts = 3;
// Round-trip time subtracted from the request's remaining time to get that of
// an attempt, so that the owner's answer arrives before the entry gives up.
constexpr base::Duration HopAllowance = base::milliseconds(5);
constexpr base::Duration CrossRegionHopAllowance = base::milliseconds(20);

// Share of the remaining time that a trial may use before another server is
// tried, so that a request doesn't fail because the server is still unhealthy.
constexpr double TrialTimeShare = 0.5;

// Returns true as well if the server is unknown, as for a referral.
bool isInLocalRegion(const State &Node, const base::BackendName &Server) {
  auto It = Node.Routing.Servers.find(Server);
  return It == Node.Routing.Servers.end() ||
         It->second.Record.Region == Node.Self.Region;
}

AttemptFacts makeAttemptFacts(const State &Node, const EntryRequest &Request,
                              const base::BackendName &Preferred) {
  AttemptFacts Facts;
  Facts.Attempt = Request.Current.Id;
  Facts.Request = Request.Facts.Request;
  Facts.Entry = Node.Self.Name;
  Facts.Service = Request.Kind.Service;
  Facts.Kind = Request.Kind.Name;
  Facts.Rank = Request.Kind.Rank;
  Facts.Workspace = Request.Facts.Workspace;
  Facts.PreferredServer = Preferred;
  Facts.IdempotencyKey = Request.Facts.IdempotencyKey;
  Facts.Action = Request.Facts.Action;
  Facts.Permitted = Request.Permitted;
  Facts.Fingerprint = Request.Fingerprint;
  Facts.BodyHash = Request.Facts.BodyHash;
  Facts.BodyBytes = Request.Facts.BodyBytes;
  Facts.TimeLeft = Request.Deadline - Node.Now -
                   (isInLocalRegion(Node, Preferred) ? HopAllowance
                                                     : CrossRegionHopAllowance);
  Facts.Waited = Node.Now - Request.ArrivedAt;
  Facts.Worth = Request.Kind.Worth;
  Facts.Idempotent = Request.Kind.Idempotent;
  Facts.Number = Request.Sends + 1;
  return Facts;
}

base::AttemptId assignAttemptId(State &Node, EntryRequest &Request) {
  std::uint64_t Origin =
      Node.Self.Origin != 0 ? Node.Self.Origin : Node.Self.Incarnation.Value;
  Request.Current = EntryAttempt();
  Request.Current.Id =
      base::AttemptId{Origin, ++Node.Entry.LastAttemptSequence};
  Node.Entry.RequestByAttempt[Request.Current.Id] = Request.Facts.Request;
  return Request.Current.Id;
}

routing::Choice chooseServer(State &Node, const EntryRequest &Request,
                             const std::vector<base::BackendName> &Excluded,
                             EffectList &Effects) {
  static const config::ServiceSettings Defaults;
  routing::ChoiceQuery Query;
  Query.Service = Request.Kind.Service;
  Query.Admission = &Node.Admission;
  Query.RankOrder =
      admission::rankOrder(*Node.Config.Current, Request.Kind.Rank);
  Query.Worth = Request.Kind.Worth;
  Query.Idempotent = Request.Kind.Idempotent;
  Query.Tried = Request.Tried;
  Query.Tried.insert(Query.Tried.end(), Excluded.begin(), Excluded.end());
  Query.Placement = Node.Config.Current->Placement;
  Query.Now = Node.Now;
  const auto &Services = Node.Config.Current->Services;
  auto It = Services.find(Query.Service);
  return routing::selectServer(Node.Routing, Query,
                               It == Services.end() ? Defaults : It->second,
                               Node.Random, Effects);
}

base::Reason admitAttempt(State &Node, const EntryRequest &Request,
                          const routing::Choice &Choice, double Draw,
                          EffectList &Effects) {
  admission::AttemptPlan Plan = makeAttemptPlan(Node, Request, *Choice.Server);
  Plan.Draw = Draw;
  return admission::admitAttempt(Node.Admission, Plan, Effects);
}

} // namespace

bool hasFreeSlotElsewhere(State &Node, const EntryRequest &Request,
                          EffectList &Effects) {
  return chooseServer(Node, Request, {}, Effects).HasFreeSlot;
}

admission::AttemptPlan makeAttemptPlan(const State &Node,
                                       const EntryRequest &Request,
                                       const routing::BackendServer &Server) {
  return {*Node.Config.Current,    Request.Kind, Server, Node.Self.Region,
          Request.Facts.BodyBytes, Node.Now,     1};
}

void endEntryAttempt(State &Node, EntryAttempt &Attempt) {
  Node.Entry.RequestByAttempt.erase(Attempt.Id);
  routing::releaseTrial(Node.Routing, Attempt.Server, Attempt.Id);
  auto Server = Node.Routing.Servers.find(Attempt.Server);
  if (Server != Node.Routing.Servers.end() &&
      Server->second.Record.Owner != Node.Self.Name &&
      Server->second.Running > 0)
    --Server->second.Running;
  Attempt.Id = base::AttemptId();
}

bool isInFlight(const EntryAttempt &Attempt) {
  return Attempt.Id.Sequence != 0;
}

EntryAttempt &attemptOf(EntryRequest &Request, base::AttemptId Id) {
  return Request.SlowTrial.Id == Id ? Request.SlowTrial : Request.Current;
}

void cancelOtherAttempts(State &Node, EntryRequest &Request,
                         base::AttemptId Answered, EffectList &Effects) {
  for (EntryAttempt *Attempt : {&Request.Current, &Request.SlowTrial}) {
    if (!isInFlight(*Attempt) || Attempt->Id == Answered)
      continue;
    cancelQueuedAttempt(Node, Attempt->Id, Effects);
    Effects.push_back(CancelAttempt{Attempt->Id});
    endEntryAttempt(Node, *Attempt);
  }
}

void abandonAttempt(State &Node, EntryRequest &Request, EntryAttempt &Attempt,
                    EffectList &Effects) {
  cancelQueuedAttempt(Node, Attempt.Id, Effects);
  Effects.push_back(CancelAttempt{Attempt.Id});
  if (Attempt.NotRun) {
    if (Request.Permitted)
      actions::noteNotRun(Node, Request.Facts);
    return;
  }
  routing::onAttemptUnanswered(Node.Routing, Attempt.Server, Attempt.Id,
                               Node.Now);
  Request.MayHaveRun = true;
}

// Referrals bypass admission and the retry budget: the target looks the action
// up by its id and never runs it a second time.
bool startReferral(State &Node, EntryRequest &Request,
                   const base::NodeName &Target, EffectList &Effects) {
  base::NetAddress Address;
  if (Target != Node.Self.Name) {
    auto Member = Node.Membership.Members.find(Target);
    if (Member == Node.Membership.Members.end())
      return false;
    Address = Member->second.Record.PeerAddress;
  }
  if (++Request.Referrals > MaxReferrals)
    return false;
  assignAttemptId(Node, Request);
  Effects.push_back(
      StartAttempt{makeAttemptFacts(Node, Request, {}), Target, Address, {}});
  return true;
}

// Prefers owners that aren't known to refuse part of the rank, but only among
// servers chosen for the same reason as the first one deferred: a choice for
// another reason, such as a spill to another region, is costlier to reach.
base::Reason placeAttempt(State &Node, const EntryRequest &Request,
                          routing::Choice &Chosen, EffectList &Effects) {
  double Draw = base::uniformUnit(Node.Random);
  std::vector<base::BackendName> Considered;
  std::vector<routing::Choice> Deferred;
  base::Reason Reason = base::Reason::NoBackend;
  while (Considered.size() < MaxCandidates) {
    Chosen = chooseServer(Node, Request, Considered, Effects);
    if (!Chosen.Server)
      break;
    Considered.push_back(Chosen.Server->Record.Name);
    bool HasOtherReason =
        !Deferred.empty() && Chosen.Reason != Deferred.front().Reason;
    if (HasOtherReason ||
        admission::shouldSkipOwner(
            Node.Admission, makeAttemptPlan(Node, Request, *Chosen.Server))) {
      Deferred.push_back(Chosen);
      continue;
    }
    Reason = admitAttempt(Node, Request, Chosen, Draw, Effects);
    if (Reason == base::Reason::None)
      return Reason;
  }
  for (const routing::Choice &Choice : Deferred) {
    Chosen = Choice;
    Reason = admitAttempt(Node, Request, Chosen, Draw, Effects);
    if (Reason == base::Reason::None)
      return Reason;
  }
  return Reason;
}

void startAttempt(State &Node, EntryRequest &Request,
                  const routing::Choice &Chosen, EffectList &Effects) {
  const routing::BackendServer *Server = Chosen.Server;
  ++Request.Attempts;
  assignAttemptId(Node, Request);
  Request.Current.Server = Server->Record.Name;
  Request.Tried.push_back(Server->Record.Name);
  routing::onAttemptStarted(Node.Routing, Chosen, Request.Current.Id);
  Request.Trace.push_back({Request.Current.Id, Server->Record.Name,
                           Server->Record.Owner,
                           routing::choiceReasonName(Chosen.Reason), Node.Now});
  logPlaced(Node, Request, Chosen, Effects);
  base::NetAddress Address;
  if (Server->Record.Owner != Node.Self.Name) {
    ++Node.Routing.Servers.at(Server->Record.Name).Running;
    Address = membership::addressOf(Node.Membership, Server->Record.Owner);
  }
  if (Request.Permitted)
    actions::notePlaced(Node, Request.Facts, Server->Record.Owner);
  if (Chosen.Reason == routing::ChoiceReason::Trial)
    setTimer(Node.Timers,
             Node.Now +
                 base::scale(Request.Deadline - Node.Now, TrialTimeShare),
             TrialTimeout{Request.Facts.Request, Request.Current.Id});
  AttemptFacts Facts = makeAttemptFacts(Node, Request, Server->Record.Name);
  Facts.ReturnOnLongWait = Chosen.OtherHasFreeSlot &&
                           Request.LongWaitReturns < MaxLongWaitReturns &&
                           Request.Attempts <= MaxReturnableAttempts;
  Effects.push_back(StartAttempt{std::move(Facts), Server->Record.Owner,
                                 Address, Request.SlowTrial.Id});
}

} // namespace currantgauge::core
