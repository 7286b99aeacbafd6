#include "currantgauge/admission/fleet_limit.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

// Asks of a workspace in flight from one entry. Beyond, requests wait and share
// the next ask, so that messages grow more slowly than a workspace's requests.
constexpr std::size_t MaxAsksInFlight = 4;
constexpr base::Duration FirstResendTime = base::milliseconds(200);
constexpr base::Duration MaxResendTime = base::milliseconds(800);
constexpr std::uint32_t MaxForwards = 2;

base::Duration resendTime(std::uint32_t Sends) {
  base::Duration Time = FirstResendTime;
  for (std::uint32_t I = 1; I < Sends && Time < MaxResendTime; ++I)
    Time = Time * 2;
  return std::min(Time, MaxResendTime);
}

// Every second send goes to the member that ranks after the home. It reaches
// the home if only the path from here has failed, and it is the next home.
void sendAsk(FleetLimitState &State, std::uint64_t Sequence,
             PendingAsk &Pending, base::TimePoint Now, PermitOutput &Output) {
  ++Pending.Sends;
  HomeChoice Choice = chooseHome(State.Roster, Pending.Workspace);
  bool UseNext = Pending.Sends % 2 == 0 && !Choice.Next.empty();
  Pending.Recipient = UseNext ? Choice.Next : Choice.Home;
  Pending.ResendAt = Now + resendTime(Pending.Sends);
  Output.Resends.push_back(Sequence);
  PermitAsk Ask{.Id = {State.Origin, Sequence},
                .Workspace = Pending.Workspace,
                .Count = static_cast<std::uint32_t>(Pending.Requests.size())};
  if (Pending.Recipient == State.Roster.Self)
    Output.OwnAsks.push_back(std::move(Ask));
  else
    Output.Messages.push_back({Pending.Recipient, {}, std::move(Ask)});
}

void sendWaiting(FleetLimitState &State, const base::WorkspaceName &Workspace,
                 WorkspaceAsks &Asks, base::TimePoint Now,
                 PermitOutput &Output) {
  std::uint64_t Sequence = ++State.LastSequence;
  PendingAsk &Pending = State.Asks[Sequence];
  Pending.Workspace = Workspace;
  Pending.Requests = std::exchange(Asks.Waiting, {});
  ++Asks.InFlight;
  Output.Events.emplace_back(
      PermitEvent::Asked, static_cast<std::uint32_t>(Pending.Requests.size()));
  sendAsk(State, Sequence, Pending, Now, Output);
}

// Removes an ask that has ended and sends the next one of its workspace.
PendingAsk endAsk(FleetLimitState &State, std::uint64_t Sequence,
                  base::TimePoint Now, PermitOutput &Output) {
  PendingAsk Ended = std::move(State.Asks.at(Sequence));
  State.Asks.erase(Sequence);
  auto It = State.Workspaces.find(Ended.Workspace);
  --It->second.InFlight;
  if (!It->second.Waiting.empty())
    sendWaiting(State, It->first, It->second, Now, Output);
  else if (It->second.InFlight == 0)
    State.Workspaces.erase(It);
  return Ended;
}

bool isOwn(const FleetLimitState &State, const PermitAsk &Ask) {
  return Ask.Id.Origin == State.Origin &&
         (Ask.Asker.empty() || Ask.Asker == State.Roster.Self);
}

void forwardAsk(const PermitAsk &Ask, const base::NodeName &Recipient,
                PermitOutput &Output) {
  if (Recipient.empty() || Recipient == Ask.Asker ||
      Ask.ForwardCount >= MaxForwards)
    return;
  PermitAsk Forwarded = Ask;
  ++Forwarded.ForwardCount;
  Output.Messages.push_back({Recipient, {}, std::move(Forwarded)});
}

BucketStart startOfBuckets(const FleetRoster &Roster,
                           const HomeChoice &Choice) {
  if (isAlone(Roster))
    return {Roster.StartedAt, Choice.IsFirst};
  return {Choice.Since + SettleTime, Choice.IsFirst};
}

void noteAnswer(const PermitAsk &Ask, const PermitAnswer &Answer,
                PermitOutput &Output) {
  std::uint32_t Granted = std::min(Answer.Granted, Ask.Count);
  if (Granted > 0)
    Output.Events.emplace_back(PermitEvent::Granted, Granted);
  if (Granted < Ask.Count)
    Output.Events.emplace_back(PermitEvent::Refused, Ask.Count - Granted);
}

} // namespace

void requestPermit(FleetLimitState &State, const base::RequestId &Request,
                   const base::WorkspaceName &Workspace, base::TimePoint Now,
                   PermitOutput &Output) {
  auto It = State.Workspaces.try_emplace(Workspace).first;
  It->second.Waiting.push_back(Request);
  if (It->second.InFlight < MaxAsksInFlight)
    sendWaiting(State, Workspace, It->second, Now, Output);
}

void cancelPermit(FleetLimitState &State, const base::RequestId &Request,
                  const base::WorkspaceName &Workspace) {
  if (auto It = State.Workspaces.find(Workspace); It != State.Workspaces.end())
    std::erase(It->second.Waiting, Request);
  for (auto &[Sequence, Pending] : State.Asks)
    if (Pending.Workspace == Workspace)
      std::erase(Pending.Requests, Request);
}

void onPermitAsk(FleetLimitState &State, const PermitAsk &Ask,
                 const std::optional<FleetLimit> &Limit, base::TimePoint Now,
                 PermitOutput &Output) {
  if (Ask.Count == 0) {
    Output.Messages.push_back(
        {Ask.Asker, Ask.AskerAddress, PermitAnswer{.Id = Ask.Id}});
    return;
  }
  HomeChoice Choice = chooseHome(State.Roster, Ask.Workspace);
  if (!Choice.IsSelf)
    return forwardAsk(Ask, Choice.Home, Output);
  // The former home may be alive after all; if so, it is the home. After this
  // node has left, the next one is.
  if (!canIssuePermits(State.Roster, Choice, Now)) {
    bool IsLeaving = State.Roster.LeavingSince != base::TimePoint{};
    return forwardAsk(Ask, IsLeaving ? Choice.Next : Choice.Former, Output);
  }
  if (!Limit)
    return;
  bool HasBucket = State.Buckets.Buckets.contains(Ask.Workspace);
  PermitAnswer Answer = takePermits(State.Buckets, Ask, *Limit,
                                    startOfBuckets(State.Roster, Choice), Now);
  if (!HasBucket && !Choice.Former.empty())
    Output.Events.emplace_back(PermitEvent::TakenOver, 1);
  noteAnswer(Ask, Answer, Output);
  if (isOwn(State, Ask))
    return onPermitAnswer(State, Answer, Now, Output);
  Output.Messages.push_back({Ask.Asker, Ask.AskerAddress, Answer});
}

void onPermitAnswer(FleetLimitState &State, const PermitAnswer &Answer,
                    base::TimePoint Now, PermitOutput &Output) {
  if (Answer.Id.Origin != State.Origin ||
      !State.Asks.contains(Answer.Id.Sequence))
    return;
  PendingAsk Ended = endAsk(State, Answer.Id.Sequence, Now, Output);
  base::Duration RetryAfter = Answer.RetryAfter;
  for (std::size_t I = 0; I < Ended.Requests.size(); ++I) {
    bool Granted = I < Answer.Granted;
    Output.Decisions.push_back(
        {Ended.Requests[I], Granted, Granted ? base::Duration{} : RetryAfter});
    if (!Granted)
      RetryAfter += Answer.RetryStep;
  }
}

void resendAsk(FleetLimitState &State, std::uint64_t Sequence,
               base::TimePoint Now, PermitOutput &Output) {
  auto It = State.Asks.find(Sequence);
  if (It == State.Asks.end() || It->second.ResendAt > Now)
    return;
  if (It->second.Requests.empty()) {
    endAsk(State, Sequence, Now, Output);
    return;
  }
  Output.Events.emplace_back(PermitEvent::Repeated, 1);
  sendAsk(State, Sequence, It->second, Now, Output);
}

void onPermitSendFailed(FleetLimitState &State, const base::NodeName &Recipient,
                        base::TimePoint Now, PermitOutput &Output) {
  for (auto &[Sequence, Pending] : State.Asks)
    if (Pending.Recipient == Recipient && Pending.Sends == 1 &&
        !Pending.Requests.empty()) {
      Output.Events.emplace_back(PermitEvent::Repeated, 1);
      sendAsk(State, Sequence, Pending, Now, Output);
    }
}

} // namespace currantgauge::admission
