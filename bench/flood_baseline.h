// Two plain owners to compare with: one queue in order of arrival, and strict
// priority by rank. Both refuse when a queue is full and start nothing whose
// deadline has passed; entries choose a server at random.
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

// BaselineKind is the order of a plain owner's queue.
enum class BaselineKind { Fifo, StrictPriority };

namespace detail {

constexpr std::size_t BaselineQueueLength = 200;

// PlainOwner is a server and its queue; Fifo uses the first queue alone.
struct PlainOwner {
  std::array<std::deque<std::size_t>, RankCount> Waiting;
  std::uint32_t Running = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Index = 0; // within its service
  std::size_t Node = 0;
};

// PlainStep is a request that reaches its owner or ends there.
struct PlainStep {
  base::TimePoint At;
  std::size_t Request = 0;
  bool Ends = false;

  auto operator<=>(const PlainStep &) const = default;
};

// PlainFleet is the baseline's fleet in virtual time.
struct PlainFleet {
  Scenario Flood;
  BaselineKind Kind = BaselineKind::Fifo;
  std::vector<Record> Records;
  std::vector<PlainOwner> Owners;
  std::vector<std::size_t> OwnerOf; // by request
  std::priority_queue<PlainStep, std::vector<PlainStep>, std::greater<>>
      Pending;
};

inline base::Duration plainLatency(const PlainFleet &Fleet,
                                   std::size_t Request) {
  std::size_t Entry = Fleet.Records[Request].Asked.Entry % Fleet.Owners.size();
  std::size_t Owner = Fleet.Owners[Fleet.OwnerOf[Request]].Node;
  if (Entry == Owner)
    return {};
  return Entry % 2 == Owner % 2 ? Fleet.Flood.Fleet.InRegion
                                : Fleet.Flood.Fleet.Link;
}

inline void endPlain(PlainFleet &Fleet, std::size_t Request, bool Answered,
                     base::Reason Why, base::TimePoint Now) {
  Record &One = Fleet.Records[Request];
  One.Answered = Answered;
  One.Why = Why;
  One.What = Answered ? base::Verdict::Ran : base::Verdict::NotRun;
  One.Ended = Now + plainLatency(Fleet, Request);
}

inline void startPlain(PlainFleet &Fleet, PlainOwner &Owner,
                       base::TimePoint Now) {
  for (std::deque<std::size_t> &Same : Owner.Waiting)
    while (!Same.empty() && Owner.Running < Owner.Slots) {
      std::size_t Request = Same.front();
      Same.pop_front();
      Record &One = Fleet.Records[Request];
      if (Now >
          One.Asked.At + base::milliseconds(Ranks[One.Asked.Rank].Deadline)) {
        endPlain(Fleet, Request, false, base::Reason::DeadlinePassed, Now);
        continue;
      }
      ++Owner.Running;
      double Factor =
          isSick(Fleet.Flood, Owner.Index, Now) ? Fleet.Flood.SickFactor : 1;
      One.SlotTime = base::scale(One.Asked.Work, Factor);
      Fleet.Pending.push({Now + One.SlotTime, Request, true});
    }
}

inline void stepPlain(PlainFleet &Fleet, const PlainStep &Next) {
  PlainOwner &Owner = Fleet.Owners[Fleet.OwnerOf[Next.Request]];
  if (Next.Ends) {
    --Owner.Running;
    endPlain(Fleet, Next.Request, true, base::Reason::None, Next.At);
  } else {
    std::size_t Rank = Fleet.Kind == BaselineKind::Fifo
                           ? 0
                           : Fleet.Records[Next.Request].Asked.Rank;
    if (Owner.Waiting[Rank].size() >= BaselineQueueLength)
      return endPlain(Fleet, Next.Request, false, base::Reason::QueueFull,
                      Next.At);
    Owner.Waiting[Rank].push_back(Next.Request);
  }
  startPlain(Fleet, Owner, Next.At);
}

// While the regions are cut off, an entry uses the servers of its own.
inline std::size_t choosePlain(const PlainFleet &Fleet, const Arrival &Asked,
                               std::size_t First, base::Random &Source) {
  std::uint32_t Count = Fleet.Flood.Fleet.Services[Asked.Service].Servers;
  std::size_t Entry = Asked.Entry % Fleet.Owners.size();
  bool Cut = Fleet.Flood.Kind == FloodKind::RegionCut &&
             Asked.At >= Fleet.Flood.FloodStarts;
  while (true) {
    std::size_t Owner = First + base::uniformBelow(Source, Count);
    if (!Cut || Owner % 2 == Entry % 2)
      return Owner;
  }
}

inline PlainFleet makePlainFleet(const Scenario &Flood, BaselineKind Kind) {
  PlainFleet Fleet;
  Fleet.Flood = Flood;
  Fleet.Kind = Kind;
  base::Random Source(Flood.Seed + 1);
  std::vector<std::size_t> First;
  for (const ServicePlan &Plan : Flood.Fleet.Services) {
    First.push_back(Fleet.Owners.size());
    for (std::uint32_t Index = 0; Index < Plan.Servers; ++Index) {
      PlainOwner &Owner = Fleet.Owners.emplace_back();
      Owner.Slots = Plan.Slots;
      Owner.Index = Index;
      Owner.Node = Fleet.Owners.size() - 1;
    }
  }
  for (const Arrival &Asked : makeArrivals(Flood)) {
    Fleet.OwnerOf.push_back(
        choosePlain(Fleet, Asked, First[Asked.Service], Source));
    Fleet.Records.push_back(Record{Asked});
    std::size_t Request = Fleet.Records.size() - 1;
    Fleet.Pending.push(
        {Asked.At + plainLatency(Fleet, Request), Request, false});
  }
  return Fleet;
}

} // namespace detail

// runBaseline() runs a scenario with plain owners and returns its figures.
inline Report runBaseline(const Scenario &Flood, BaselineKind Kind) {
  detail::PlainFleet Fleet = detail::makePlainFleet(Flood, Kind);
  while (!Fleet.Pending.empty()) {
    detail::PlainStep Next = Fleet.Pending.top();
    Fleet.Pending.pop();
    detail::stepPlain(Fleet, Next);
  }
  Report Figures = summarize(Flood, Fleet.Records);
  Figures.Attempts = Fleet.Records.size();
  return Figures;
}

} // namespace currantgauge::bench

#endif // BENCH_FLOOD_BASELINE_H
