// Start-time fair queueing over flows: each flow gets its share of what is
// served while it has something waiting, whatever the others send.
//
//   FairSchedule<base::KindName> Schedule;
//   addOne(Schedule, Kind);
//   const base::KindName *Next = firstFlow(Schedule);
//   chargeFlow(Schedule, *Next, Cost);
//   removeOne(Schedule, Kind);
#ifndef CURRANTGAUGE_ADMISSION_FAIR_SCHEDULE_H
#define CURRANTGAUGE_ADMISSION_FAIR_SCHEDULE_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace currantgauge::admission {

// FairFlow is one flow's place in virtual time.
struct FairFlow {
  double Start = 0;  // of its next item
  double Finish = 0; // of its last item served
  std::uint32_t Length = 0;
};

// FairSchedule orders flows. Each operation costs O(log n) of the flows.
template <typename Key> struct FairSchedule {
  std::map<Key, FairFlow> Flows;
  std::set<std::pair<double, Key>> Waiting; // by start, Length above 0
  std::set<std::pair<double, Key>> Idle;    // by finish, Length 0
  std::set<std::pair<std::uint32_t, Key>> ByLength;
  double Time = 0;
};

namespace detail {

template <typename Key>
void setLength(FairSchedule<Key> &Schedule, const Key &Which, FairFlow &Flow,
               std::uint32_t Length) {
  Schedule.ByLength.erase({Flow.Length, Which});
  Flow.Length = Length;
  if (Length > 0)
    Schedule.ByLength.insert({Length, Which});
}

// A flow that came back would start at the present anyway: its past is over.
template <typename Key> void forgetOldFlows(FairSchedule<Key> &Schedule) {
  while (!Schedule.Idle.empty() &&
         Schedule.Idle.begin()->first <= Schedule.Time) {
    Schedule.Flows.erase(Schedule.Idle.begin()->second);
    Schedule.Idle.erase(Schedule.Idle.begin());
  }
}

} // namespace detail

// addOne() notes that one more item of a flow waits.
template <typename Key>
void addOne(FairSchedule<Key> &Schedule, const Key &Which) {
  FairFlow &Flow = Schedule.Flows[Which];
  if (Flow.Length == 0) {
    Schedule.Idle.erase({Flow.Finish, Which});
    Flow.Start = std::max(Schedule.Time, Flow.Finish);
    Schedule.Waiting.insert({Flow.Start, Which});
  }
  detail::setLength(Schedule, Which, Flow, Flow.Length + 1);
}

// removeOne() notes that one item of a flow waits no more; Which may be a
// copy alone, for its flow can be forgotten.
template <typename Key> void removeOne(FairSchedule<Key> &Schedule, Key Which) {
  auto Found = Schedule.Flows.find(Which);
  if (Found == Schedule.Flows.end() || Found->second.Length == 0)
    return;
  FairFlow &Flow = Found->second;
  detail::setLength(Schedule, Which, Flow, Flow.Length - 1);
  if (Flow.Length > 0)
    return;
  Schedule.Waiting.erase({Flow.Start, Which});
  Schedule.Idle.insert({Flow.Finish, Which});
  if (Schedule.Waiting.empty())
    Schedule = FairSchedule<Key>();
  else
    detail::forgetOldFlows(Schedule);
}

// chargeFlow() charges a waiting flow for the item about to be served. Cost is
// in any unit that all flows share, already divided by the flow's weight.
template <typename Key>
void chargeFlow(FairSchedule<Key> &Schedule, const Key &Which, double Cost) {
  FairFlow &Flow = Schedule.Flows.at(Which);
  Schedule.Waiting.erase({Flow.Start, Which});
  Schedule.Time = std::max(Schedule.Time, Flow.Start);
  Flow.Finish = Flow.Start + Cost;
  Flow.Start = Flow.Finish;
  Schedule.Waiting.insert({Flow.Start, Which});
  detail::forgetOldFlows(Schedule);
}

// firstFlow() returns the flow to serve next, null when none waits.
template <typename Key>
const Key *firstFlow(const FairSchedule<Key> &Schedule) {
  return Schedule.Waiting.empty() ? nullptr : &Schedule.Waiting.begin()->second;
}

// longestFlow() returns the flow with the most waiting, null when none waits.
template <typename Key>
const Key *longestFlow(const FairSchedule<Key> &Schedule) {
  return Schedule.ByLength.empty() ? nullptr
                                   : &Schedule.ByLength.rbegin()->second;
}

// lengthOf() returns how many items of a flow wait.
template <typename Key>
std::uint32_t lengthOf(const FairSchedule<Key> &Schedule, const Key &Which) {
  auto Found = Schedule.Flows.find(Which);
  return Found == Schedule.Flows.end() ? 0 : Found->second.Length;
}

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_FAIR_SCHEDULE_H
