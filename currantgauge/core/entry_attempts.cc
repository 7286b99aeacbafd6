#include "currantgauge/core/entry_attempts.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/admission/entry.h"
#include "currantgauge/core/request_log.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/routing/choose.h"
#include "currantgauge/routing/health.h"

#include <utility>
#include <vector>

namespace currantgauge::core {
namespace {

constexpr std::uint32_t ReferralLimit = 4; // of one request
constexpr std::size_t ChoiceLimit = 4;     // servers weighed for an attempt
// Of one request: each costs a hop, and tells the load of one more owner.
constexpr std::uint32_t HandBackLimit = 2;
// What an attempt's deadline is ahead of its request's, so that the owner's
// answer arrives before the entry gives up: there and back.
constexpr base::Duration HopAllowance = base::milliseconds(5);
constexpr base::Duration LinkAllowance = base::milliseconds(20);

// Of the time left, what a trial may use before another server is asked: one
// that is still sick must not cost the request that tries it.
constexpr double TrialShare = 0.5;

bool isNear(const State &Node, const base::BackendName &Server) {
  auto Found = Node.Routing.Servers.find(Server);
  return Found == Node.Routing.Servers.end() ||
         Found->second.Record.Region == Node.Self.Region;
}

AttemptFacts factsOf(const State &Node, const EntryRequest &Request,
                     const base::BackendName &Preferred) {
  AttemptFacts Facts;
  Facts.Attempt = Request.Current;
  Facts.Request = Request.Facts.Request;
  Facts.Entry = Node.Self.Name;
  Facts.Service = Request.Kind.Service;
  Facts.Kind = Request.Kind.Name;
  Facts.Rank = Request.Kind.Rank;
  Facts.Workspace = Request.Facts.Workspace;
  Facts.Preferred = Preferred;
  Facts.Key = Request.Facts.Key;
  Facts.Action = Request.Facts.Action;
  Facts.Permitted = Request.Permitted;
  Facts.Print = Request.Print;
  Facts.Body = Request.Facts.Body;
  Facts.BodyBytes = Request.Facts.BodyBytes;
  Facts.TimeLeft = Request.Deadline - Node.Now -
                   (isNear(Node, Preferred) ? HopAllowance : LinkAllowance);
  Facts.Waited = Node.Now - Request.Arrived;
  Facts.Worth = Request.Kind.Worth;
  Facts.Idempotent = Request.Kind.Idempotent;
  Facts.Number = Request.Sends + 1;
  return Facts;
}

base::AttemptId newAttempt(State &Node, EntryRequest &Request) {
  std::uint64_t Origin =
      Node.Self.Origin != 0 ? Node.Self.Origin : Node.Self.Life.Value;
  Request.Current = base::AttemptId{Origin, ++Node.Entry.LastAttempt};
  Request.CurrentRefused = false;
  Node.Entry.ByAttempt[Request.Current] = Request.Facts.Request;
  return Request.Current;
}

routing::Choice chooseFor(State &Node, const EntryRequest &Request,
                          const std::vector<base::BackendName> &Avoid,
                          EffectList &Effects) {
  static const config::ServiceSettings Defaults;
  routing::ChoiceQuery Query;
  Query.Service = Request.Kind.Service;
  Query.Pressure = &Node.Admission;
  Query.RankOrder =
      admission::rankOrder(*Node.Config.Current, Request.Kind.Rank);
  Query.Worth = Request.Kind.Worth;
  Query.Idempotent = Request.Kind.Idempotent;
  Query.Tried = Request.Tried;
  Query.Tried.insert(Query.Tried.end(), Avoid.begin(), Avoid.end());
  Query.Placement = Node.Config.Current->Placement;
  Query.Now = Node.Now;
  const auto &Services = Node.Config.Current->Services;
  auto Found = Services.find(Query.Service);
  return routing::selectServer(
      Node.Routing, Query, Found == Services.end() ? Defaults : Found->second,
      Node.Source, Effects);
}

base::Reason admit(State &Node, const EntryRequest &Request,
                   const routing::Choice &One, double Draw,
                   EffectList &Effects) {
  admission::AttemptPlan Plan = planOf(Node, Request, *One.Server);
  Plan.Draw = Draw;
  return admission::admitAttempt(Node.Admission, Plan, Effects);
}

} // namespace

bool hasRoomElsewhere(State &Node, const EntryRequest &Request,
                      EffectList &Effects) {
  return chooseFor(Node, Request, {}, Effects).HasRoom;
}

admission::AttemptPlan planOf(const State &Node, const EntryRequest &Request,
                              const routing::BackendServer &Server) {
  return {*Node.Config.Current,    Request.Kind, Server, Node.Self.Region,
          Request.Facts.BodyBytes, Node.Now,     1};
}

void endCurrentAttempt(State &Node, EntryRequest &Request) {
  Node.Entry.ByAttempt.erase(Request.Current);
  routing::onAttemptOver(Node.Routing, Request.CurrentServer, Request.Current);
  auto Server = Node.Routing.Servers.find(Request.CurrentServer);
  if (Server != Node.Routing.Servers.end() &&
      Server->second.Record.Owner != Node.Self.Name &&
      Server->second.Running > 0)
    --Server->second.Running;
  Request.Current = base::AttemptId();
}

// An action that another node knows more of is asked for there. The owner's
// queue and the retry budget are not touched: that node runs nothing twice.
bool startReferral(State &Node, EntryRequest &Request,
                   const base::NodeName &Where, EffectList &Effects) {
  base::NetAddress Address;
  if (Where != Node.Self.Name) {
    auto Member = Node.Membership.Members.find(Where);
    if (Member == Node.Membership.Members.end())
      return false;
    Address = Member->second.Record.PeerAddress;
  }
  if (++Request.Referrals > ReferralLimit)
    return false;
  newAttempt(Node, Request);
  Request.CurrentServer = base::BackendName();
  Effects.push_back(StartAttempt{factsOf(Node, Request, {}), Where, Address});
  return true;
}

// An owner that refuses part of the rank is passed over for one that is not
// known to, unless that one is dearer to reach.
base::Reason placeAttempt(State &Node, const EntryRequest &Request,
                          routing::Choice &Chosen, EffectList &Effects) {
  double Draw = base::uniformUnit(Node.Source);
  std::vector<base::BackendName> Avoid;
  std::vector<routing::Choice> Passed;
  base::Reason Why = base::Reason::NoBackend;
  while (Avoid.size() < ChoiceLimit) {
    Chosen = chooseFor(Node, Request, Avoid, Effects);
    if (!Chosen.Server)
      break;
    Avoid.push_back(Chosen.Server->Record.Name);
    bool Dearer = !Passed.empty() && Chosen.Why != Passed.front().Why;
    if (Dearer || admission::shouldSkipOwner(
                      Node.Admission, planOf(Node, Request, *Chosen.Server))) {
      Passed.push_back(Chosen);
      continue;
    }
    Why = admit(Node, Request, Chosen, Draw, Effects);
    if (Why == base::Reason::None)
      return Why;
  }
  for (const routing::Choice &One : Passed) {
    Chosen = One;
    Why = admit(Node, Request, Chosen, Draw, Effects);
    if (Why == base::Reason::None)
      return Why;
  }
  return Why;
}

void startAttempt(State &Node, EntryRequest &Request,
                  const routing::Choice &Chosen, EffectList &Effects) {
  const routing::BackendServer *Server = Chosen.Server;
  ++Request.Attempts;
  newAttempt(Node, Request);
  Request.CurrentServer = Server->Record.Name;
  Request.Tried.push_back(Server->Record.Name);
  routing::onAttemptStarted(Node.Routing, Chosen, Request.Current);
  Request.Trace.push_back({Request.Current, Server->Record.Name,
                           Server->Record.Owner,
                           routing::choiceName(Chosen.Why), Node.Now});
  logPlaced(Node, Request, Chosen, Effects);
  base::NetAddress Address;
  if (Server->Record.Owner != Node.Self.Name) {
    ++Node.Routing.Servers.at(Server->Record.Name).Running;
    Address = membership::addressOf(Node.Membership, Server->Record.Owner);
  }
  if (Request.Permitted)
    actions::notePlaced(Node, Request.Facts, Server->Record.Owner);
  if (Chosen.Why == routing::ChoiceWhy::Trial)
    setTimer(Node.Timers,
             Node.Now + base::scaled(Request.Deadline - Node.Now, TrialShare),
             TrialDue{Request.Facts.Request, Request.Current});
  AttemptFacts Facts = factsOf(Node, Request, Server->Record.Name);
  Facts.HandsBack = Chosen.OtherHasRoom && Request.HandBacks < HandBackLimit;
  Effects.push_back(
      StartAttempt{std::move(Facts), Server->Record.Owner, Address});
}

} // namespace currantgauge::core
