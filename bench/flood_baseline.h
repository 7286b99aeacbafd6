// Two baseline owners for comparison: a single queue in order of arrival, and
// strict priority by rank. Both refuse a request when its queue is full, and
// don't start one whose deadline has passed. Entries choose a server at random.
//
//   Report Figures = runBaseline(Flood, BaselineKind::Fifo);
#ifndef BENCH_FLOOD_BASELINE_H
#define BENCH_FLOOD_BASELINE_H

#include "bench/flood_scenario.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace currantgauge::bench {

// BaselineKind is the queueing order of a baseline owner.
enum class BaselineKind { Fifo, StrictPriority };

namespace detail {

constexpr std::size_t BaselineQueueLength = 200;

// PlainOwner is a server and its queues by rank; Fifo uses only the first.
struct PlainOwner {
  std::array<std::deque<std::size_t>, RankCount> Queues;
  std::uint32_t Running = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Index = 0; // within its service
  std::size_t Node = 0;
};

// PlainStep is the arrival of a request at its owner, or its end there.
struct PlainStep {
  base::TimePoint Time;
  std::size_t Request = 0;
  bool IsEnd = false;

  auto operator<=>(const PlainStep &) const = default;
};

// PlainFleet is the state of a simulated fleet of baseline owners.
struct PlainFleet {
  Scenario Flood;
  BaselineKind Kind = BaselineKind::Fifo;
  std::vector<RequestRecord> Records;
  std::vector<PlainOwner> Owners;
  std::vector<std::size_t> OwnerByRequest;
  std::priority_queue<PlainStep, std::vector<PlainStep>, std::greater<>>
      Pending;
};

inline base::Duration getPlainLatency(const PlainFleet &Fleet,
                                      std::size_t Request) {
  std::size_t Entry =
      Fleet.Records[Request].Request.Entry % Fleet.Owners.size();
  std::size_t Owner = Fleet.Owners[Fleet.OwnerByRequest[Request]].Node;
  if (Entry == Owner)
    return {};
  return Entry % 2 == Owner % 2 ? Fleet.Flood.Fleet.DomainDelay
                                : Fleet.Flood.Fleet.RegionDelay;
}

inline void endPlainRequest(PlainFleet &Fleet, std::size_t Request,
                            bool Answered, base::Reason Reason,
                            base::TimePoint Now) {
  RequestRecord &Record = Fleet.Records[Request];
  Record.Answered = Answered;
  Record.Reason = Reason;
  Record.Verdict = Answered ? base::Verdict::Ran : base::Verdict::NotRun;
  Record.EndTime = Now + getPlainLatency(Fleet, Request);
}

inline void startPlainRequests(PlainFleet &Fleet, PlainOwner &Owner,
                               base::TimePoint Now) {
  for (std::deque<std::size_t> &Queue : Owner.Queues)
    while (!Queue.empty() && Owner.Running < Owner.Slots) {
      std::size_t Request = Queue.front();
      Queue.pop_front();
      RequestRecord &Record = Fleet.Records[Request];
      if (Now > Record.Request.ArrivalTime +
                    base::milliseconds(Ranks[Record.Request.Rank].Deadline)) {
        endPlainRequest(Fleet, Request, false, base::Reason::DeadlinePassed,
                        Now);
        continue;
      }
      ++Owner.Running;
      double Factor = isSlowed(Fleet.Flood, Owner.Index, Now)
                          ? Fleet.Flood.SlowdownFactor
                          : 1;
      Record.SlotTime = base::scale(Record.Request.ServiceTime, Factor);
      Fleet.Pending.push({Now + Record.SlotTime, Request, true});
    }
}

inline void applyPlainStep(PlainFleet &Fleet, const PlainStep &Step) {
  PlainOwner &Owner = Fleet.Owners[Fleet.OwnerByRequest[Step.Request]];
  if (Step.IsEnd) {
    --Owner.Running;
    endPlainRequest(Fleet, Step.Request, true, base::Reason::None, Step.Time);
  } else {
    std::size_t Rank = Fleet.Kind == BaselineKind::Fifo
                           ? 0
                           : Fleet.Records[Step.Request].Request.Rank;
    if (Owner.Queues[Rank].size() >= BaselineQueueLength)
      return endPlainRequest(Fleet, Step.Request, false,
                             base::Reason::QueueFull, Step.Time);
    Owner.Queues[Rank].push_back(Step.Request);
  }
  startPlainRequests(Fleet, Owner, Step.Time);
}

// While the regions can't reach each other, an entry uses only the servers of
// its own region.
inline std::size_t choosePlainOwner(const PlainFleet &Fleet,
                                    const CallerRequest &Request,
                                    std::size_t FirstOwner,
                                    base::Random &Source) {
  std::uint32_t Count = Fleet.Flood.Fleet.Services[Request.Service].Servers;
  std::size_t Entry = Request.Entry % Fleet.Owners.size();
  bool IsCut = Fleet.Flood.Kind == FloodKind::RegionCut &&
               Request.ArrivalTime >= Fleet.Flood.FloodStart;
  while (true) {
    std::size_t Owner = FirstOwner + base::uniformBelow(Source, Count);
    if (!IsCut || Owner % 2 == Entry % 2)
      return Owner;
  }
}

inline PlainFleet makePlainFleet(const Scenario &Flood, BaselineKind Kind) {
  PlainFleet Fleet;
  Fleet.Flood = Flood;
  Fleet.Kind = Kind;
  base::Random Source(Flood.Seed + 1);
  std::vector<std::size_t> FirstOwners;
  for (const ServicePlan &Plan : Flood.Fleet.Services) {
    FirstOwners.push_back(Fleet.Owners.size());
    for (std::uint32_t Index = 0; Index < Plan.Servers; ++Index) {
      PlainOwner &Owner = Fleet.Owners.emplace_back();
      Owner.Slots = Plan.Slots;
      Owner.Index = Index;
      Owner.Node = Fleet.Owners.size() - 1;
    }
  }
  for (const CallerRequest &Request : makeRequests(Flood)) {
    Fleet.OwnerByRequest.push_back(
        choosePlainOwner(Fleet, Request, FirstOwners[Request.Service], Source));
    Fleet.Records.push_back(RequestRecord{Request});
    std::size_t Index = Fleet.Records.size() - 1;
    Fleet.Pending.push(
        {Request.ArrivalTime + getPlainLatency(Fleet, Index), Index, false});
  }
  return Fleet;
}

} // namespace detail

// runBaseline() runs a scenario with baseline owners and returns the results.
inline Report runBaseline(const Scenario &Flood, BaselineKind Kind) {
  detail::PlainFleet Fleet = detail::makePlainFleet(Flood, Kind);
  while (!Fleet.Pending.empty()) {
    detail::PlainStep Step = Fleet.Pending.top();
    Fleet.Pending.pop();
    detail::applyPlainStep(Fleet, Step);
  }
  Report Figures = summarize(Flood, Fleet.Records);
  Figures.Attempts = Fleet.Records.size();
  return Figures;
}

} // namespace currantgauge::bench

#endif // BENCH_FLOOD_BASELINE_H
