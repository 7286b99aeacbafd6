#include "currantgauge/routing/tell.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace currantgauge::routing {
namespace {

// Levels that records tell of. Lower ones come and go at healthy servers and
// would fill the byte budget of a large fleet with rumours.
constexpr std::array<double, 3> ToldLevels = {1, 0.75, 0.5};
// Shares are told in steps, and told anew once they lie nearer to another step
// by a margin.
constexpr double ShareStep = 0.05;
constexpr double ShareMargin = 0.75; // of a step
// Up to here a late share is no news.
constexpr double UsualLateShare = 0.1;
constexpr base::Duration LowerAfter = base::seconds(1);
// Shares that moved without a change of suspicion serve as a measure for peers,
// which a rumour to every node each second would not repay.
constexpr base::Duration SharesInterval = base::seconds(10);
constexpr base::Duration TimesInterval = base::seconds(15);
constexpr double TimesTolerance = 0.25;
constexpr std::size_t ToldKinds = 4;

std::vector<KindTime> timesToTell(const ServerEvidence &Evidence) {
  std::vector<std::pair<std::uint32_t, KindTime>> Known;
  for (const auto &[Kind, Own] : Evidence.Kinds)
    if (TimeProfile Times = computeProfile(Own.Histogram); Times.isKnown())
      Known.push_back({Own.Histogram.Total, {Kind, Times}});
  std::stable_sort(
      Known.begin(), Known.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  Known.resize(std::min(Known.size(), ToldKinds));
  std::vector<KindTime> Told;
  for (auto &[Count, Time] : Known)
    Told.push_back(std::move(Time));
  return Told;
}

bool hasMoved(base::Duration Old, base::Duration New) {
  return std::abs(static_cast<double>((New - Old).Micros)) >
         TimesTolerance * static_cast<double>(Old.Micros);
}

// Small changes of usual times make no rumour.
bool haveMoved(const std::vector<KindTime> &Old,
               const std::vector<KindTime> &New) {
  for (const KindTime &Time : New) {
    auto Same = std::find_if(Old.begin(), Old.end(), [&](const KindTime &One) {
      return One.Kind == Time.Kind;
    });
    if (Same == Old.end() || hasMoved(Same->Times.Median, Time.Times.Median) ||
        hasMoved(Same->Times.Q90, Time.Times.Q90) ||
        hasMoved(Same->Times.Q99, Time.Times.Q99))
      return true;
  }
  return false;
}

// Without the times of its peers a server that stalls has no measure: the first
// ones of a kind don't wait.
bool knowsNewTimes(const BackendRecord &Record,
                   const ServerEvidence &Evidence) {
  if (Record.Times.size() >= ToldKinds)
    return false;
  return std::any_of(
      Evidence.Kinds.begin(), Evidence.Kinds.end(), [&](const auto &Own) {
        return hasEnoughSamples(Own.second.Histogram) &&
               std::none_of(Record.Times.begin(), Record.Times.end(),
                            [&](const KindTime &Told) {
                              return Told.Kind == Own.first;
                            });
      });
}

// The entries that sent work lately hear at once, the others by gossip.
void tellEntries(const RoutingState &State,
                 const membership::MembershipState &Peers,
                 const ServerEvidence &Evidence, const BackendRecord &Record,
                 core::EffectList &Effects) {
  for (const auto &[Entry, At] : Evidence.RecentEntries) {
    auto Peer = Peers.Members.find(Entry);
    if (Entry == State.Self || Peer == Peers.Members.end())
      continue;
    membership::PeerMessage Message;
    Message.From = Peers.Self.Name;
    Message.FromAddress = Peers.Self.PeerAddress;
    Message.Kind = membership::MessageKind::Rumours;
    Message.Version = Peers.Self.Version;
    Message.Backends.push_back(Record);
    Effects.push_back(core::SendPeerMessage{
        Entry, Peer->second.Record.PeerAddress, std::move(Message)});
  }
}

bool hasMoved(double Told, double Share) {
  return std::abs(Share - Told) > ShareMargin * ShareStep;
}

double toldShare(double Share) {
  return std::round(Share / ShareStep) * ShareStep;
}

// A usual late share wavers and would make rumours: it is told as 0.
double lateShare(const BackendRecord &Record, const ServerEvidence &Evidence) {
  double Least = Record.LateShare > 0 ? UsualLateShare / 2 : UsualLateShare;
  return Evidence.LateShare < Least ? 0 : Evidence.LateShare;
}

// Rising suspicion is told at once, step by step; falling suspicion waits, so
// that a wavering score makes no stream of rumours.
bool shouldTell(const BackendRecord &Record, const ServerEvidence &Evidence,
                double Level, base::TimePoint Now) {
  if (Level > Record.Suspicion)
    return true;
  base::Duration Age = Now - Evidence.PublishedAt;
  if (Level < Record.Suspicion)
    return Age >= LowerAfter;
  return Age >= SharesInterval &&
         (hasMoved(Record.FailShare, Evidence.FailShare) ||
          hasMoved(Record.LateShare, lateShare(Record, Evidence)));
}

} // namespace

void publish(RoutingState &State, const membership::MembershipState &Peers,
             BackendServer &Server, ServerEvidence &Evidence,
             base::TimePoint Now, core::EffectList &Effects) {
  BackendRecord &Record = Server.Record;
  double Raw = computeSuspicion(Evidence, Now).Level;
  Evidence.Alarmed = Evidence.Alarmed || Raw >= 1;
  auto Step = std::find_if(ToldLevels.begin(), ToldLevels.end(),
                           [&](double One) { return Raw >= One; });
  double Level = Step == ToldLevels.end() ? 0 : *Step;
  bool Tell = shouldTell(Record, Evidence, Level, Now);
  bool Rises = Level > Record.Suspicion;
  bool Moves = Level != Record.Suspicion;
  if (Tell) {
    markStale(State, Record.Service);
    Record.Suspicion = Level;
    Record.FailShare = toldShare(Evidence.FailShare);
    Record.LateShare = toldShare(lateShare(Record, Evidence));
    Evidence.PublishedAt = Now;
  }
  if (Now - Evidence.TimesPublishedAt >= TimesInterval ||
      knowsNewTimes(Record, Evidence)) {
    Evidence.TimesPublishedAt = Now;
    std::vector<KindTime> Times = timesToTell(Evidence);
    if (haveMoved(Record.Times, Times)) {
      Record.Times = std::move(Times);
      Tell = true;
    }
  }
  if (Tell) {
    ++Record.Revision;
    UpdateUrgency Haste = Rises && Level >= 1 ? UpdateUrgency::Immediate
                          : Moves             ? UpdateUrgency::Normal
                                              : UpdateUrgency::Deferred;
    UpdateUrgency &Kept = State.PendingUpdates[Record.Name];
    Kept = std::max(Kept, Haste);
  }
  if (Rises)
    tellEntries(State, Peers, Evidence, Record, Effects);
}

} // namespace currantgauge::routing
