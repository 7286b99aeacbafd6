#include "currantgauge/core/fleet_limits.h"

#include "currantgauge/admission/fleet_probe.h"
#include "currantgauge/core/entry.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/membership/send.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::core {
namespace {

// A request waits for its permit for these fractions of its target response
// time and of its time at most, so that it can still be answered, or sent again
// by its caller, if there is none.
constexpr std::int64_t AimDivisor = 8;
constexpr std::int64_t TimeDivisor = 3;
// The least wait under an aim; covers the first repeats of an ask.
constexpr base::Duration MinAimWait = base::milliseconds(500);
constexpr base::Duration UnansweredRetryAfter = base::seconds(1);

std::optional<admission::FleetLimit>
findLimit(const State &Node, const base::WorkspaceName &Workspace) {
  if (!Node.Config.Current)
    return std::nullopt;
  const auto &Workspaces = Node.Config.Current->Workspaces;
  auto It = Workspaces.find(Workspace);
  if (It == Workspaces.end())
    return std::nullopt;
  return admission::makeFleetLimit(It->second);
}

base::Duration maxPermitWait(const EntryRequest &Request, base::TimePoint Now) {
  base::Duration Wait = (Request.Deadline - Now) / TimeDivisor;
  if (Request.Kind.Aim > base::Duration{})
    Wait = std::min(Wait, std::max(Request.Kind.Aim / AimDivisor, MinAimWait));
  return Wait;
}

// Callers that were refused at the same time return spread over as much time
// again.
base::Duration spreadReturn(base::Duration Least, base::Random &Random) {
  return Least + base::scale(Least, base::uniformUnit(Random));
}

// hasFleetLimits() returns true if some workspace has a fleet limit.
bool hasFleetLimits(const config::Configuration &Config) {
  for (const auto &Bucket : Config.Workspaces.Buckets)
    if (Bucket && std::any_of(Bucket->Entries.begin(), Bucket->Entries.end(),
                              [](const auto &Entry) {
                                return Entry.second.FleetLimit.Value > 0;
                              }))
      return true;
  return false;
}

// Visits the workspaces once per version of the configuration.
bool fleetLimitsInUse(State &Node) {
  admission::FleetLimitState &Limits = Node.FleetLimits;
  base::ConfigVersion Version = Node.Config.Document.Version;
  if (Node.Config.Current && Limits.InUseAsOf != Version) {
    Limits.InUse = hasFleetLimits(*Node.Config.Current);
    Limits.InUseAsOf = Version;
  }
  return Limits.InUse;
}

// Returns the time until this node, the home, may issue a permit, if that is
// known to be MaxWait or more. A former home or the next one may issue it
// before.
std::optional<base::Duration> findLongWait(const State &Node,
                                           const base::WorkspaceName &Workspace,
                                           base::Duration MaxWait) {
  const admission::FleetRoster &Roster = Node.FleetLimits.Roster;
  admission::HomeChoice Choice = admission::chooseHome(Roster, Workspace);
  if (!Choice.IsSelf || !Choice.Former.empty() ||
      Roster.LeavingSince != base::TimePoint{})
    return std::nullopt;
  base::Duration Wait =
      admission::earliestPermitTime(Roster, Choice, Node.Now) - Node.Now;
  return Wait >= MaxWait ? std::optional(Wait) : std::nullopt;
}

Measure measurePermits(admission::PermitEvent Event, double Amount) {
  using admission::PermitEvent;
  switch (Event) {
  case PermitEvent::Asked:
    return Measure{Metric::Permits, "asked", "entry", Amount};
  case PermitEvent::Repeated:
    return Measure{Metric::Permits, "repeated", "entry", Amount};
  case PermitEvent::Granted:
    return Measure{Metric::Permits, "granted", "home", Amount};
  case PermitEvent::Refused:
    return Measure{Metric::Permits, "refused", "home", Amount};
  case PermitEvent::TakenOver:
    return Measure{Metric::Permits, "taken_over", "home", Amount};
  }
  return Measure{Metric::Permits, "", "", Amount};
}

void sendPermitMessage(State &Node, const admission::PermitMessage &Permit,
                       EffectList &Effects) {
  membership::PeerMessage Message =
      membership::newMessage(Node.Membership, membership::MessageKind::Permits);
  if (const auto *Ask = std::get_if<admission::PermitAsk>(&Permit.Body))
    Message.PermitAsks.push_back(*Ask);
  else
    Message.PermitAnswers.push_back(
        std::get<admission::PermitAnswer>(Permit.Body));
  if (Permit.Address.empty())
    return membership::sendTo(Node.Membership, Permit.Recipient,
                              std::move(Message), Effects);
  Effects.push_back(Measure{Metric::PeerMessages, "permits", "out", 1});
  Effects.push_back(
      SendPeerMessage{Permit.Recipient, Permit.Address, std::move(Message)});
}

void decideRequest(State &Node, const admission::PermitDecision &Decision,
                   EffectList &Effects) {
  endPermitWait(Node, Decision.Request,
                Decision.Granted ? base::Reason::None
                                 : base::Reason::FleetLimit,
                Decision.RetryAfter, Effects);
}

// Answers the asks of this node to itself first, which may lead to others.
void executeOutput(State &Node, admission::PermitOutput &Output,
                   EffectList &Effects) {
  while (!Output.OwnAsks.empty()) {
    admission::PermitAsk Ask = std::move(Output.OwnAsks.back());
    Output.OwnAsks.pop_back();
    admission::onPermitAsk(Node.FleetLimits, Ask,
                           findLimit(Node, Ask.Workspace), Node.Now, Output);
  }
  for (const auto &[Event, Count] : Output.Events)
    Effects.push_back(measurePermits(Event, Count));
  for (const admission::PermitMessage &Message : Output.Messages)
    sendPermitMessage(Node, Message, Effects);
  for (std::uint64_t Sequence : Output.Resends)
    if (auto It = Node.FleetLimits.Asks.find(Sequence);
        It != Node.FleetLimits.Asks.end())
      setTimer(Node.Timers, It->second.ResendAt, PermitResend{Sequence});
  for (const admission::PermitDecision &Decision : Output.Decisions)
    decideRequest(Node, Decision, Effects);
}

} // namespace

void updateFleetRoster(State &Node, EffectList &Effects) {
  if (!fleetLimitsInUse(Node) ||
      !admission::updateIsDue(Node.FleetLimits.Roster, Node.Now))
    return;
  std::vector<admission::MemberView> Views;
  Views.reserve(Node.Membership.Members.size());
  for (const auto &[Name, Member] : Node.Membership.Members)
    Views.push_back({&Name,
                     Member.Record.Phase == membership::MemberPhase::Alive,
                     Member.PhaseSince, Member.LastMessageAt,
                     Member.Record.Phase == membership::MemberPhase::Left});
  admission::updateRoster(Node.FleetLimits.Roster, Views, Node.Now);
  for (const auto &[Sequence, Probe] : Node.Membership.Probes)
    if (Probe.Indirect)
      admission::noteUnreachable(Node.FleetLimits.Roster, Probe.Target,
                                 Node.Now);
  admission::PermitOutput Output;
  admission::addProbes(Node.FleetLimits, Node.Random, Node.Now, Output);
  executeOutput(Node, Output, Effects);
}

bool awaitPermit(State &Node, EntryRequest &Request, EffectList &Effects) {
  const base::WorkspaceName &Workspace = Request.Facts.Workspace;
  auto Limit = findLimit(Node, Workspace);
  if (!Limit || Limit->Rate <= 0)
    return false;
  Request.AwaitsPermit = true;
  Node.FleetLimits.InUse = true;
  updateFleetRoster(Node, Effects);
  base::Duration MaxWait = maxPermitWait(Request, Node.Now);
  if (auto Wait = findLongWait(Node, Workspace, MaxWait)) {
    Effects.push_back(Measure{Metric::Permits, "unavailable", "entry", 1});
    endPermitWait(
        Node, Request.Facts.Request, base::Reason::PeerUnavailable,
        spreadReturn(std::max(*Wait, UnansweredRetryAfter), Node.Random),
        Effects);
    return true;
  }
  setTimer(Node.Timers, Node.Now + MaxWait,
           PermitTimeout{Request.Facts.Request});
  admission::PermitOutput Output;
  admission::requestPermit(Node.FleetLimits, Request.Facts.Request, Workspace,
                           Node.Now, Output);
  executeOutput(Node, Output, Effects);
  return true;
}

void cancelPermitWait(State &Node, const EntryRequest &Request) {
  admission::cancelPermit(Node.FleetLimits, Request.Facts.Request,
                          Request.Facts.Workspace);
}

void onPermitMessage(State &Node, const membership::PeerMessage &Message,
                     EffectList &Effects) {
  // A node with an older configuration forwards asks, too.
  if (Message.Kind == membership::MessageKind::Permits)
    Node.FleetLimits.InUse = true;
  updateFleetRoster(Node, Effects);
  if (Message.Kind != membership::MessageKind::Permits)
    return;
  admission::PermitOutput Output;
  for (admission::PermitAsk Ask : Message.PermitAsks) {
    if (Ask.Asker.empty()) {
      Ask.Asker = Message.From;
      Ask.AskerAddress = Message.FromAddress;
    }
    admission::onPermitAsk(Node.FleetLimits, Ask,
                           findLimit(Node, Ask.Workspace), Node.Now, Output);
  }
  for (const admission::PermitAnswer &Answer : Message.PermitAnswers)
    admission::onPermitAnswer(Node.FleetLimits, Answer, Node.Now, Output);
  executeOutput(Node, Output, Effects);
}

void onPermitSendFailed(State &Node, const PeerSendFailed &Failure,
                        EffectList &Effects) {
  admission::noteUnreachable(Node.FleetLimits.Roster, Failure.Recipient,
                             Node.Now);
  admission::PermitOutput Output;
  admission::onPermitSendFailed(Node.FleetLimits, Failure.Recipient, Node.Now,
                                Output);
  executeOutput(Node, Output, Effects);
}

void onPermitResend(State &Node, const PermitResend &Due, EffectList &Effects) {
  updateFleetRoster(Node, Effects);
  admission::PermitOutput Output;
  admission::resendAsk(Node.FleetLimits, Due.Sequence, Node.Now, Output);
  executeOutput(Node, Output, Effects);
}

void onPermitTimeout(State &Node, const PermitTimeout &Due,
                     EffectList &Effects) {
  auto It = Node.Entry.Requests.find(Due.Request);
  if (It == Node.Entry.Requests.end() || !It->second.AwaitsPermit)
    return;
  Effects.push_back(Measure{Metric::Permits, "timed_out", "entry", 1});
  cancelPermitWait(Node, It->second);
  endPermitWait(Node, Due.Request, base::Reason::PeerUnavailable,
                spreadReturn(UnansweredRetryAfter, Node.Random), Effects);
}

OperatorTable makeFleetLimitTable(const State &Node) {
  OperatorTable Table{"fleet limits",
                      {"workspace", "home", "permits left", "rate", "burst",
                       "asks in flight", "waiting"},
                      {}};
  auto AddRow = [&](const base::WorkspaceName &Workspace,
                    const std::string &Left, std::size_t InFlight,
                    std::size_t Waiting) {
    auto Limit = findLimit(Node, Workspace).value_or(admission::FleetLimit());
    Table.Rows.push_back(
        {Workspace.Value,
         admission::chooseHome(Node.FleetLimits.Roster, Workspace).Home.Value,
         Left, std::to_string(std::lround(Limit.Rate)),
         std::to_string(std::lround(Limit.Burst)), std::to_string(InFlight),
         std::to_string(Waiting)});
  };
  for (const auto &[Workspace, Bucket] : Node.FleetLimits.Buckets.Buckets)
    AddRow(Workspace, std::to_string(std::lround(std::floor(Bucket.Tokens))), 0,
           0);
  for (const auto &[Workspace, Asks] : Node.FleetLimits.Workspaces)
    AddRow(Workspace, "", Asks.InFlight, Asks.Waiting.size());
  return Table;
}

} // namespace currantgauge::core
