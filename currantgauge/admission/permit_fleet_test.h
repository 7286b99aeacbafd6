// A fleet of entries and homes of permits over a virtual network, for tests. It
// has no membership protocol: a change of a link or node becomes known to each
// node after a delay like that of the failure detector.
//
//   PermitFleet Fleet(/*Nodes=*/89, /*Seed=*/7);
//   requestAt(Fleet, /*Entry=*/3, Workspace);
//   runFor(Fleet, base::seconds(20));
#ifndef CURRANTGAUGE_ADMISSION_PERMIT_FLEET_TEST_H
#define CURRANTGAUGE_ADMISSION_PERMIT_FLEET_TEST_H

#include "currantgauge/admission/fleet_limit.h"
#include "currantgauge/admission/fleet_probe.h"
#include "currantgauge/base/random.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::admission {

// NodeView is what a node knows of another one.
struct NodeView {
  bool Alive = true;
  base::TimePoint Since;
  base::TimePoint HeardAt;
};

struct PermitNode {
  FleetLimitState State;
  bool Up = true;
  std::uint64_t Run = 0;  // counts its starts
  std::size_t Island = 0; // nodes of the same island reach each other
  std::vector<NodeView> Views;
  std::vector<bool> Met; // nodes that it has discovered
  std::map<base::WorkspaceName, FleetLimit> Limits; // in force at this node
};

// Usage counts what became of a workspace's requests.
struct Usage {
  FleetLimit Limit;
  double ReferenceTokens = 0; // of one exact bucket
  base::TimePoint ReferenceAt;
  std::size_t Arrived = 0;
  std::size_t Refused = 0;
  std::size_t RefusedUnderLimit = 0; // that the exact bucket admits
  std::size_t Unanswered = 0;
  std::vector<base::TimePoint> Runs;
};

struct PermitRequest {
  base::WorkspaceName Workspace;
  std::size_t Entry = 0;
  bool UnderLimit = false;
};

struct PermitFleet {
  std::vector<PermitNode> Nodes;
  std::vector<base::NodeName> Names;
  std::map<base::NodeName, std::size_t> Index;
  std::map<base::WorkspaceName, Usage> Workspaces;
  std::map<base::RequestId, PermitRequest> Requests;
  std::multimap<base::TimePoint, std::function<void()>> Events;
  base::TimePoint Now{1000000};
  base::Random Source;
  double LossShare = 0; // messages that arrive late, by a repeat of TCP
  bool FirstStart = true;
  std::uint64_t LastRequest = 0;
  std::uint64_t Messages = 0;
  base::Duration LongestWait;

  PermitFleet(std::size_t Count, std::uint64_t Seed);
};

constexpr base::Duration PermitPatience = base::seconds(3);
constexpr base::Duration SendTimeout = base::seconds(1);
constexpr base::Duration ProbeTimeout = base::milliseconds(400);

inline base::Duration drawDelay(PermitFleet &Fleet, base::Duration Least,
                                base::Duration Most) {
  return Least + base::scale(Most - Least, base::uniformUnit(Fleet.Source));
}

inline void schedule(PermitFleet &Fleet, base::Duration Delay,
                     std::function<void()> Run) {
  Fleet.Events.emplace(Fleet.Now + Delay, std::move(Run));
}

inline bool areLinked(const PermitFleet &Fleet, std::size_t A, std::size_t B) {
  return Fleet.Nodes[A].Up && Fleet.Nodes[B].Up &&
         Fleet.Nodes[A].Island == Fleet.Nodes[B].Island;
}

inline void execute(PermitFleet &Fleet, std::size_t Self, PermitOutput Output);

inline void refreshRoster(PermitFleet &Fleet, std::size_t Self) {
  PermitNode &Node = Fleet.Nodes[Self];
  if (!updateIsDue(Node.State.Roster, Fleet.Now))
    return;
  std::vector<MemberView> Views;
  for (const auto &[Name, I] : Fleet.Index)
    if (I != Self && Node.Met[I])
      Views.push_back({&Name, Node.Views[I].Alive, Node.Views[I].Since,
                       Node.Views[I].HeardAt});
  updateRoster(Node.State.Roster, Views, Fleet.Now);
  PermitOutput Output;
  addProbes(Node.State, Fleet.Source, Fleet.Now, Output);
  execute(Fleet, Self, std::move(Output));
}

inline void receive(PermitFleet &Fleet, std::size_t Self, std::size_t From,
                    std::variant<PermitAsk, PermitAnswer> Body) {
  PermitNode &Node = Fleet.Nodes[Self];
  Node.Views[From].HeardAt = Fleet.Now;
  refreshRoster(Fleet, Self);
  PermitOutput Output;
  if (auto *Answer = std::get_if<PermitAnswer>(&Body)) {
    onPermitAnswer(Node.State, *Answer, Fleet.Now, Output);
  } else {
    auto &Ask = std::get<PermitAsk>(Body);
    if (Ask.Asker.empty())
      Ask.Asker = Fleet.Names[From];
    onPermitAsk(Node.State, Ask, Node.Limits[Ask.Workspace], Fleet.Now, Output);
  }
  execute(Fleet, Self, std::move(Output));
}

inline void failSend(PermitFleet &Fleet, std::size_t From, std::size_t To) {
  FleetLimitState &State = Fleet.Nodes[From].State;
  noteUnreachable(State.Roster, Fleet.Names[To], Fleet.Now);
  PermitOutput Output;
  onPermitSendFailed(State, Fleet.Names[To], Fleet.Now, Output);
  execute(Fleet, From, std::move(Output));
}

inline void send(PermitFleet &Fleet, std::size_t From,
                 const PermitMessage &Message) {
  std::size_t To = Fleet.Index.at(Message.Recipient);
  ++Fleet.Messages;
  base::Duration Delay =
      drawDelay(Fleet, base::milliseconds(1), base::milliseconds(16));
  while (base::uniformUnit(Fleet.Source) < Fleet.LossShare)
    Delay += base::milliseconds(200);
  std::uint64_t Run = Fleet.Nodes[To].Run;
  std::uint64_t SenderRun = Fleet.Nodes[From].Run;
  schedule(Fleet, Delay, [=, &Fleet, Body = Message.Body] {
    if (areLinked(Fleet, From, To) && Fleet.Nodes[To].Run == Run)
      return receive(Fleet, To, From, Body);
    base::Duration Timeout =
        Fleet.Nodes[To].Up ? SendTimeout : base::Duration{};
    schedule(Fleet, Timeout, [=, &Fleet] {
      if (Fleet.Nodes[From].Up && Fleet.Nodes[From].Run == SenderRun)
        failSend(Fleet, From, To);
    });
  });
}

inline void decide(PermitFleet &Fleet, const PermitDecision &Decision) {
  auto It = Fleet.Requests.find(Decision.Request);
  if (It == Fleet.Requests.end())
    return;
  Usage &Use = Fleet.Workspaces[It->second.Workspace];
  if (Decision.Granted)
    Use.Runs.push_back(Fleet.Now);
  else
    ++Use.Refused;
  if (!Decision.Granted && It->second.UnderLimit)
    ++Use.RefusedUnderLimit;
  Fleet.LongestWait = std::max(Fleet.LongestWait, Decision.RetryAfter);
  Fleet.Requests.erase(It);
}

inline void execute(PermitFleet &Fleet, std::size_t Self, PermitOutput Output) {
  PermitNode &Node = Fleet.Nodes[Self];
  while (!Output.OwnAsks.empty()) {
    PermitAsk Ask = std::move(Output.OwnAsks.back());
    Output.OwnAsks.pop_back();
    onPermitAsk(Node.State, Ask, Node.Limits.at(Ask.Workspace), Fleet.Now,
                Output);
  }
  for (const PermitMessage &Message : Output.Messages)
    send(Fleet, Self, Message);
  for (std::uint64_t Sequence : Output.Resends) {
    auto It = Node.State.Asks.find(Sequence);
    if (It == Node.State.Asks.end())
      continue;
    schedule(Fleet, It->second.ResendAt - Fleet.Now,
             [=, &Fleet, Run = Node.Run] {
               PermitNode &Resender = Fleet.Nodes[Self];
               if (!Resender.Up || Resender.Run != Run)
                 return;
               refreshRoster(Fleet, Self);
               PermitOutput Repeat;
               resendAsk(Resender.State, Sequence, Fleet.Now, Repeat);
               execute(Fleet, Self, std::move(Repeat));
             });
  }
  for (const PermitDecision &Decision : Output.Decisions)
    decide(Fleet, Decision);
}

// Takes a token of the exact bucket, with which the fleet is compared.
inline bool isUnderLimit(Usage &Use, base::TimePoint Now) {
  double Refilled = base::toSeconds(Now - Use.ReferenceAt) * Use.Limit.Rate;
  Use.ReferenceTokens =
      std::min(Use.ReferenceTokens + Refilled, Use.Limit.Burst);
  Use.ReferenceAt = Now;
  bool UnderLimit = Use.ReferenceTokens >= 1;
  Use.ReferenceTokens -= UnderLimit ? 1 : 0;
  return UnderLimit;
}

// requestAt() lets a caller send a request to an entry that is up.
inline void requestAt(PermitFleet &Fleet, std::size_t Entry,
                      const base::WorkspaceName &Workspace) {
  Usage &Use = Fleet.Workspaces[Workspace];
  ++Use.Arrived;
  base::RequestId Id{1, ++Fleet.LastRequest};
  Fleet.Requests[Id] = {Workspace, Entry, isUnderLimit(Use, Fleet.Now)};
  schedule(Fleet, PermitPatience, [=, &Fleet] {
    if (Fleet.Requests.erase(Id) == 0)
      return;
    cancelPermit(Fleet.Nodes[Entry].State, Id, Workspace);
    ++Fleet.Workspaces[Workspace].Unanswered;
  });
  refreshRoster(Fleet, Entry);
  PermitOutput Output;
  requestPermit(Fleet.Nodes[Entry].State, Id, Workspace, Fleet.Now, Output);
  execute(Fleet, Entry, std::move(Output));
}

inline void probe(PermitFleet &Fleet, std::size_t From, std::size_t To) {
  if (From == To || !Fleet.Nodes[From].Up)
    return;
  if (areLinked(Fleet, From, To)) {
    Fleet.Nodes[From].Views[To].HeardAt = Fleet.Now;
    Fleet.Nodes[To].Views[From].HeardAt = Fleet.Now;
    return;
  }
  schedule(Fleet, ProbeTimeout, [=, &Fleet] {
    noteUnreachable(Fleet.Nodes[From].State.Roster, Fleet.Names[To], Fleet.Now);
  });
}

// Each node probes its successor every second, and any node every fourth.
inline void exchangeGossip(PermitFleet &Fleet, std::size_t Self) {
  std::size_t Count = Fleet.Nodes.size();
  probe(Fleet, Self, (Self + 1) % Count);
  if (base::uniformBelow(Fleet.Source, 4) == 0)
    probe(Fleet, Self, base::uniformBelow(Fleet.Source, Count));
  if (Fleet.Nodes[Self].Up)
    refreshRoster(Fleet, Self);
  schedule(Fleet, base::seconds(1),
           [=, &Fleet] { exchangeGossip(Fleet, Self); });
}

// The longest time in which an island suspects a node that it doesn't reach.
// Each node detects its successor in a round and others by its shuffled probes.
inline base::Duration detectionTime(const PermitFleet &Fleet,
                                    std::size_t Island) {
  double Size = 0;
  for (const PermitNode &Node : Fleet.Nodes)
    Size += Node.Up && Node.Island == Island ? 1 : 0;
  double Others = static_cast<double>(Fleet.Nodes.size()) - Size;
  return base::scale(base::seconds(1), 2.5 + Others / std::max(Size, 1.0));
}

// Lets A's view of B follow the truth after a delay.
inline void updateView(PermitFleet &Fleet, std::size_t A, std::size_t B) {
  bool Linked = areLinked(Fleet, A, B);
  base::Duration Delay =
      Linked ? drawDelay(Fleet, base::milliseconds(200), base::seconds(2))
             : drawDelay(Fleet, base::seconds(1),
                         detectionTime(Fleet, Fleet.Nodes[A].Island));
  schedule(Fleet, Delay, [=, &Fleet, Run = Fleet.Nodes[A].Run] {
    PermitNode &Node = Fleet.Nodes[A];
    if (!Node.Up || Node.Run != Run || areLinked(Fleet, A, B) != Linked)
      return;
    Node.Met[B] = Node.Met[B] || Linked;
    if (Node.Views[B].Alive != Linked)
      Node.Views[B] = {Linked, Fleet.Now};
  });
}

inline void updateViewsOf(PermitFleet &Fleet, std::size_t Changed) {
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    if (I != Changed) {
      updateView(Fleet, I, Changed);
      updateView(Fleet, Changed, I);
    }
}

// reset() gives a node the state of a new process, which has discovered all
// other nodes or none of them.
inline void reset(PermitFleet &Fleet, std::size_t Self, bool HasMetAll) {
  PermitNode &Node = Fleet.Nodes[Self];
  Node.Up = true;
  ++Node.Run;
  Node.State = FleetLimitState();
  Node.State.Origin = Self * 1000 + Node.Run;
  Node.State.Roster = makeRoster(Fleet.Names[Self], Fleet.FirstStart, true);
  Node.Met.assign(Fleet.Nodes.size(), HasMetAll);
  Node.Views.assign(Fleet.Nodes.size(), NodeView());
}

inline void start(PermitFleet &Fleet, std::size_t Self) {
  reset(Fleet, Self, false);
  updateViewsOf(Fleet, Self);
}

inline void kill(PermitFleet &Fleet, std::size_t Self) {
  Fleet.Nodes[Self].Up = false;
  ++Fleet.Nodes[Self].Run;
  std::erase_if(Fleet.Requests,
                [&](const auto &Item) { return Item.second.Entry == Self; });
  updateViewsOf(Fleet, Self);
}

// moveTo() moves nodes to an island, whose nodes reach only each other.
inline void moveTo(PermitFleet &Fleet, const std::vector<std::size_t> &Moved,
                   std::size_t Island) {
  for (std::size_t I : Moved)
    Fleet.Nodes[I].Island = Island;
  for (std::size_t I : Moved)
    updateViewsOf(Fleet, I);
}

inline void runFor(PermitFleet &Fleet, base::Duration Duration) {
  base::TimePoint End = Fleet.Now + Duration;
  while (!Fleet.Events.empty() && Fleet.Events.begin()->first <= End) {
    auto Event = Fleet.Events.extract(Fleet.Events.begin());
    Fleet.Now = std::max(Fleet.Now, Event.key());
    Event.mapped()();
  }
  Fleet.Now = End;
}

inline PermitFleet::PermitFleet(std::size_t Count, std::uint64_t Seed)
    : Nodes(Count), Source(Seed) {
  for (std::size_t I = 0; I < Count; ++I) {
    this->Names.emplace_back("node-" + std::to_string(I));
    this->Index[this->Names.back()] = I;
  }
  for (std::size_t I = 0; I < Count; ++I)
    reset(*this, I, true);
  for (std::size_t I = 0; I < Count; ++I)
    schedule(*this, drawDelay(*this, {}, base::seconds(1)),
             [this, I] { exchangeGossip(*this, I); });
  runFor(*this, base::seconds(6));
  this->FirstStart = false;
}

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_PERMIT_FLEET_TEST_H
