#include "currantgauge/routing/publish.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace currantgauge::routing {
namespace {

// Suspicion levels that records carry. Healthy servers often reach lower levels
// for a short time; publishing these would exhaust the gossip byte budget of a
// large fleet.
constexpr std::array<double, 3> PublishedLevels = {1, 0.75, 0.5};
// Shares are rounded to steps of ShareStep. They are published with each change
// of the published suspicion, and otherwise, at most once per SharesInterval,
// when one differs from its published value by more than ShareHysteresis.
constexpr double ShareStep = 0.05;
constexpr double ShareHysteresis = 0.75; // of a step
// Late shares below this are normal and published as 0.
constexpr double MaxUsualLateShare = 0.1;
// Minimum time from a publication to the next one that lowers the suspicion.
constexpr base::Duration LowerDelay = base::seconds(1);
// While the suspicion doesn't change, the shares only serve as a baseline
// for other servers, which doesn't justify a gossip update to every node each
// second.
constexpr base::Duration SharesInterval = base::seconds(10);
// Usual times, other than the first ones of a kind, are published at most once
// per TimesInterval, and only if one has changed by more than TimesTolerance
// (as a share) of its published value.
constexpr base::Duration TimesInterval = base::seconds(15);
constexpr double TimesTolerance = 0.25;
constexpr std::size_t MaxPublishedKinds = 4;

std::vector<KindTime> selectTimes(const ServerEvidence &Evidence) {
  std::vector<std::pair<std::uint32_t, KindTime>> Profiles;
  for (const auto &[Kind, Samples] : Evidence.Kinds)
    if (TimeProfile Times = computeProfile(Samples.Histogram); Times.isKnown())
      Profiles.push_back({Samples.Histogram.Total, {Kind, Times}});
  std::stable_sort(
      Profiles.begin(), Profiles.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  Profiles.resize(std::min(Profiles.size(), MaxPublishedKinds));
  std::vector<KindTime> Selected;
  for (auto &[Count, Time] : Profiles)
    Selected.push_back(std::move(Time));
  return Selected;
}

bool hasChanged(base::Duration Old, base::Duration New) {
  return std::abs(static_cast<double>((New - Old).Micros)) >
         TimesTolerance * static_cast<double>(Old.Micros);
}

// Small changes of usual times are not published.
bool haveChanged(const std::vector<KindTime> &Old,
                 const std::vector<KindTime> &New) {
  for (const KindTime &Time : New) {
    auto It = std::find_if(Old.begin(), Old.end(), [&](const KindTime &Known) {
      return Known.Kind == Time.Kind;
    });
    if (It == Old.end() || hasChanged(It->Times.Median, Time.Times.Median) ||
        hasChanged(It->Times.Q90, Time.Times.Q90) ||
        hasChanged(It->Times.Q99, Time.Times.Q99))
      return true;
  }
  return false;
}

// A stalling server can't be detected without other servers' usual times, so
// the first times of a kind are published at once, up to MaxPublishedKinds.
bool hasUnpublishedTimes(const BackendRecord &Record,
                         const ServerEvidence &Evidence) {
  if (Record.Times.size() >= MaxPublishedKinds)
    return false;
  return std::any_of(
      Evidence.Kinds.begin(), Evidence.Kinds.end(), [&](const auto &Entry) {
        return hasEnoughSamples(Entry.second.Histogram) &&
               std::none_of(Record.Times.begin(), Record.Times.end(),
                            [&](const KindTime &Published) {
                              return Published.Kind == Entry.first;
                            });
      });
}

// Sends the record directly to the entries that recently sent work; the other
// nodes receive it by gossip.
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

// A normal late share fluctuates and would cause gossip, so it is published as
// 0. Once a late share is published, it stays until it falls below half of the
// threshold.
double computeLateShare(const BackendRecord &Record,
                        const ServerEvidence &Evidence) {
  double MinShare =
      Record.LateShare > 0 ? MaxUsualLateShare / 2 : MaxUsualLateShare;
  return Evidence.LateShare < MinShare ? 0 : Evidence.LateShare;
}

// A rising suspicion is published at once, a falling one only LowerDelay after
// the last publication, so that a fluctuating score doesn't cause a stream of
// gossip updates.
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
                         [&](double Threshold) { return Raw >= Threshold; });
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
