// Start-time fair queueing: while a flow has items waiting, it gets its share
// of the service, however much the other flows send.
//
//   FairSchedule<base::KindName> Schedule;
//   addItem(Schedule, Kind);
//   const base::KindName *Next = firstFlow(Schedule);
//   chargeFlow(Schedule, *Next, Cost);
//   removeItem(Schedule, Kind);
#ifndef CURRANTGAUGE_ADMISSION_FAIR_SCHEDULE_H
#define CURRANTGAUGE_ADMISSION_FAIR_SCHEDULE_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace currantgauge::admission {

// FairFlow is the state of one flow, in virtual time.
struct FairFlow {
  double Start = 0;         // of the next item
  double Finish = 0;        // of the last item served
  std::uint32_t Length = 0; // waiting items
};

// FairSchedule orders flows. Operations take amortized O(log n) for n flows.
template <typename Key> struct FairSchedule {
  std::map<Key, FairFlow> Flows;
  std::set<std::pair<double, Key>> Waiting; // by start, Length above 0
  std::set<std::pair<double, Key>> Idle;    // by finish, Length 0
  std::set<std::pair<std::uint32_t, Key>> ByLength;
  double VirtualTime = 0;
};

namespace detail {

template <typename Key>
void setLength(FairSchedule<Key> &Schedule, const Key &FlowKey, FairFlow &Flow,
               std::uint32_t Length) {
  Schedule.ByLength.erase({Flow.Length, FlowKey});
  Flow.Length = Length;
  if (Length > 0)
    Schedule.ByLength.insert({Length, FlowKey});
}

// An idle flow that finished by the current virtual time would start there
// again, like a new flow, so its state is not needed.
template <typename Key> void eraseStaleFlows(FairSchedule<Key> &Schedule) {
  while (!Schedule.Idle.empty() &&
         Schedule.Idle.begin()->first <= Schedule.VirtualTime) {
    Schedule.Flows.erase(Schedule.Idle.begin()->second);
    Schedule.Idle.erase(Schedule.Idle.begin());
  }
}

} // namespace detail

// addItem() adds a waiting item to a flow.
template <typename Key>
void addItem(FairSchedule<Key> &Schedule, const Key &FlowKey) {
  FairFlow &Flow = Schedule.Flows[FlowKey];
  if (Flow.Length == 0) {
    Schedule.Idle.erase({Flow.Finish, FlowKey});
    Flow.Start = std::max(Schedule.VirtualTime, Flow.Finish);
    Schedule.Waiting.insert({Flow.Start, FlowKey});
  }
  detail::setLength(Schedule, FlowKey, Flow, Flow.Length + 1);
}

// removeItem() removes a waiting item from a flow. Without any waiting item the
// schedule starts anew, and earlier charges are forgotten. FlowKey is taken by
// value because the flow that owns the key may be erased.
template <typename Key>
void removeItem(FairSchedule<Key> &Schedule, Key FlowKey) {
  auto It = Schedule.Flows.find(FlowKey);
  if (It == Schedule.Flows.end() || It->second.Length == 0)
    return;
  FairFlow &Flow = It->second;
  detail::setLength(Schedule, FlowKey, Flow, Flow.Length - 1);
  if (Flow.Length > 0)
    return;
  Schedule.Waiting.erase({Flow.Start, FlowKey});
  Schedule.Idle.insert({Flow.Finish, FlowKey});
  if (Schedule.Waiting.empty())
    Schedule = FairSchedule<Key>();
  else
    detail::eraseStaleFlows(Schedule);
}

// chargeFlow() charges a waiting flow for the item about to be served. Cost is
// in one unit for all flows and already divided by the flow's weight.
template <typename Key>
void chargeFlow(FairSchedule<Key> &Schedule, const Key &FlowKey, double Cost) {
  FairFlow &Flow = Schedule.Flows.at(FlowKey);
  Schedule.Waiting.erase({Flow.Start, FlowKey});
  Schedule.VirtualTime = std::max(Schedule.VirtualTime, Flow.Start);
  Flow.Finish = Flow.Start + Cost;
  Flow.Start = Flow.Finish;
  Schedule.Waiting.insert({Flow.Start, FlowKey});
  detail::eraseStaleFlows(Schedule);
}

// firstFlow() returns the flow to serve next, null if none is waiting.
template <typename Key>
const Key *firstFlow(const FairSchedule<Key> &Schedule) {
  return Schedule.Waiting.empty() ? nullptr : &Schedule.Waiting.begin()->second;
}

// longestFlow() returns the flow with the most items, null if none is waiting.
template <typename Key>
const Key *longestFlow(const FairSchedule<Key> &Schedule) {
  return Schedule.ByLength.empty() ? nullptr
                                   : &Schedule.ByLength.rbegin()->second;
}

// lengthOf() returns the number of waiting items of a flow.
template <typename Key>
std::uint32_t lengthOf(const FairSchedule<Key> &Schedule, const Key &FlowKey) {
  auto It = Schedule.Flows.find(FlowKey);
  return It == Schedule.Flows.end() ? 0 : It->second.Length;
}

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_FAIR_SCHEDULE_H
