#include "currantgauge/routing/publish.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace currantgauge::routing {
namespace {

// Levels that records tell of. Lower ones come and go at healthy servers and
// would fill the byte budget of a large fleet with rumours.
constexpr std::array<double, 3> PublishedLevels = {1, 0.75, 0.5};
// Shares are told in steps, and told anew once they lie nearer to another step
// by a margin.
constexpr double ShareStep = 0.05;
constexpr double ShareHysteresis = 0.75; // of a step
// Up to here a late share is no news.
constexpr double MaxUsualLateShare = 0.1;
constexpr base::Duration LowerDelay = base::seconds(1);
// Shares that moved without a change of suspicion serve as a measure for peers,
// which a rumour to every node each second would not repay.
constexpr base::Duration SharesInterval = base::seconds(10);
constexpr base::Duration TimesInterval = base::seconds(15);
constexpr double TimesTolerance = 0.25;
constexpr std::size_t MaxPublishedKinds = 4;

std::vector<KindTime> selectTimes(const ServerEvidence &Evidence) {
  std::vector<std::pair<std::uint32_t, KindTime>> Known;
  for (const auto &[Kind, Samples] : Evidence.Kinds)
    if (TimeProfile Times = computeProfile(Samples.Histogram); Times.isKnown())
      Known.push_back({Samples.Histogram.Total, {Kind, Times}});
  std::stable_sort(
      Known.begin(), Known.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  Known.resize(std::min(Known.size(), MaxPublishedKinds));
  std::vector<KindTime> Selected;
  for (auto &[Count, Time] : Known)
    Selected.push_back(std::move(Time));
  return Selected;
}

bool hasChanged(base::Duration Old, base::Duration New) {
  return std::abs(static_cast<double>((New - Old).Micros)) >
         TimesTolerance * static_cast<double>(Old.Micros);
}

// Small changes of usual times make no rumour.
bool haveChanged(const std::vector<KindTime> &Old,
                 const std::vector<KindTime> &New) {
  for (const KindTime &Time : New) {
    auto It = std::find_if(Old.begin(), Old.end(), [&](const KindTime &One) {
      return One.Kind == Time.Kind;
    });
    if (It == Old.end() || hasChanged(It->Times.Median, Time.Times.Median) ||
        hasChanged(It->Times.Q90, Time.Times.Q90) ||
        hasChanged(It->Times.Q99, Time.Times.Q99))
      return true;
  }
  return false;
}

// Without the times of its peers a server that stalls has no measure: the first
// ones of a kind don't wait.
bool hasUnpublishedTimes(const BackendRecord &Record,
                         const ServerEvidence &Evidence) {
  if (Record.Times.size() >= MaxPublishedKinds)
    return false;
  return std::any_of(
      Evidence.Kinds.begin(), Evidence.Kinds.end(), [&](const auto &Own) {
        return hasEnoughSamples(Own.second.Histogram) &&
               std::none_of(Record.Times.begin(), Record.Times.end(),
                            [&](const KindTime &Published) {
                              return Published.Kind == Own.first;
                            });
      });
}

// The entries that sent work lately hear at once, the others by gossip.
void notifyEntries(const RoutingState &State,
                   const membership::MembershipState &Peers,
                   const ServerEvidence &Evidence, const BackendRecord &Record,
                   core::EffectList &Effects) {
  for (const auto &[Entry, LastSeen] : Evidence.RecentEntries) {
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

bool hasChanged(double Published, double Share) {
  return std::abs(Share - Published) > ShareHysteresis * ShareStep;
}

double roundShare(double Share) {
  return std::round(Share / ShareStep) * ShareStep;
}

// A usual late share wavers and would make rumours: it is told as 0.
double computeLateShare(const BackendRecord &Record,
                        const ServerEvidence &Evidence) {
  double MinShare =
      Record.LateShare > 0 ? MaxUsualLateShare / 2 : MaxUsualLateShare;
  return Evidence.LateShare < MinShare ? 0 : Evidence.LateShare;
}

// Rising suspicion is told at once, step by step; falling suspicion waits, so
// that a wavering score makes no stream of rumours.
bool shouldPublish(const BackendRecord &Record, const ServerEvidence &Evidence,
                   double Level, base::TimePoint Now) {
  if (Level > Record.Suspicion)
    return true;
  base::Duration Age = Now - Evidence.PublishedAt;
  if (Level < Record.Suspicion)
    return Age >= LowerDelay;
  return Age >= SharesInterval &&
         (hasChanged(Record.FailShare, Evidence.FailShare) ||
          hasChanged(Record.LateShare, computeLateShare(Record, Evidence)));
}

} // namespace

void publish(RoutingState &State, const membership::MembershipState &Peers,
             BackendServer &Server, ServerEvidence &Evidence,
             base::TimePoint Now, core::EffectList &Effects) {
  BackendRecord &Record = Server.Record;
  double Raw = computeSuspicion(Evidence, Now).Level;
  Evidence.Alarmed = Evidence.Alarmed || Raw >= 1;
  auto It = std::find_if(PublishedLevels.begin(), PublishedLevels.end(),
                         [&](double One) { return Raw >= One; });
  double Level = It == PublishedLevels.end() ? 0 : *It;
  bool Changed = shouldPublish(Record, Evidence, Level, Now);
  bool Rises = Level > Record.Suspicion;
  bool LevelChanged = Level != Record.Suspicion;
  if (Changed) {
    markStale(State, Record.Service);
    Record.Suspicion = Level;
    Record.FailShare = roundShare(Evidence.FailShare);
    Record.LateShare = roundShare(computeLateShare(Record, Evidence));
    Evidence.PublishedAt = Now;
  }
  if (Now - Evidence.TimesPublishedAt >= TimesInterval ||
      hasUnpublishedTimes(Record, Evidence)) {
    Evidence.TimesPublishedAt = Now;
    std::vector<KindTime> Times = selectTimes(Evidence);
    if (haveChanged(Record.Times, Times)) {
      Record.Times = std::move(Times);
      Changed = true;
    }
  }
  if (Changed) {
    ++Record.Revision;
    UpdateUrgency Urgency = Rises && Level >= 1 ? UpdateUrgency::Immediate
                            : LevelChanged      ? UpdateUrgency::Normal
                                                : UpdateUrgency::Deferred;
    UpdateUrgency &Pending = State.PendingUpdates[Record.Name];
    Pending = std::max(Pending, Urgency);
  }
  if (Rises)
    notifyEntries(State, Peers, Evidence, Record, Effects);
}

} // namespace currantgauge::routing
