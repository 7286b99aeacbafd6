#include "currantgauge/config/distribution.h"

#include "currantgauge/config/collect.h"
#include "currantgauge/config/load.h"
#include "currantgauge/config/push.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::config {
namespace {

constexpr std::size_t MaxNotifiedPeers = 3; // per installed version
constexpr base::Duration StepTimeout = base::seconds(8); // of a catch-up
// Mean time between two reads of the head row by any node of the fleet. It
// doesn't depend on the size of the fleet, except that MinPollInterval applies.
constexpr base::Duration FleetPollInterval = base::milliseconds(250);
constexpr base::Duration MinPollInterval = base::seconds(2);
// Gives a starting node time to learn the version from its peers before it
// reads the store, which may lag.
constexpr base::Duration FirstPollDelay = base::seconds(2);
// How long a starting node with an outdated version waits for the newest known
// one before it becomes ready.
constexpr base::Duration ReadyTimeout = base::seconds(10);

bool isAlive(const membership::MemberRecord &Record) {
  return Record.Phase == membership::MemberPhase::Alive;
}

// Announces the version at once to at most MaxNotifiedPeers peers, drawn at
// random. Every node that installs it does the same, so the number of informed
// nodes grows exponentially. Gossip reaches the rest.
void notifyPeers(core::State &Node, core::EffectList &Effects) {
  const auto &Members = Node.Membership.Members;
  for (std::size_t Count = 0; Count < MaxNotifiedPeers && !Members.empty();
       ++Count) {
    auto It = std::next(Members.begin(),
                        static_cast<std::ptrdiff_t>(
                            base::uniformBelow(Node.Random, Members.size())));
    const membership::MemberRecord &Record = It->second.Record;
    if (!isAlive(Record) || Record.PeerAddress.empty() ||
        Record.Version >= Node.Config.Document.Version)
      continue;
    membership::PeerMessage Message;
    Message.From = Node.Self.Name;
    Message.FromAddress = Node.Self.PeerAddress;
    Message.Kind = membership::MessageKind::Ack;
    Message.Version = Node.Config.Document.Version;
    Message.Members = {Node.Membership.Self};
    Effects.push_back(core::SendPeerMessage{Record.Name, Record.PeerAddress,
                                            std::move(Message)});
  }
}

// Makes a starting node ready if it has the newest version known, or any
// version when ReadyTimeout is over.
void becomeReady(core::State &Node, core::EffectList &Effects) {
  if (Node.Ready || Node.Stopping || !Node.Config.Current)
    return;
  bool IsNewest = Node.Config.Document.Version >= Node.Config.NewestKnown;
  if (Node.Config.ReadyDeadline == base::Never)
    Node.Config.ReadyDeadline = Node.Now + ReadyTimeout;
  if (!IsNewest && Node.Now < Node.Config.ReadyDeadline)
    return;
  Node.Ready = true;
  Effects.push_back(core::SetReady{true});
}

void startFetch(core::State &Node, const base::NodeName &Peer,
                const base::NetAddress &Address, core::EffectList &Effects) {
  base::CallId Call = core::nextCallId(Node);
  Node.Config.CatchUp =
      CatchUpState{CatchUpPhase::Fetching, Call, Node.Now, {}};
  Effects.push_back(
      core::FetchConfig{Call, Peer, Address, Node.Config.Document.Version});
}

void readHead(core::State &Node, core::EffectList &Effects) {
  base::CallId Call =
      callStore(Node, base::ReadRow{ConfigTable, HeadKey}, Effects);
  Node.Config.CatchUp =
      CatchUpState{CatchUpPhase::ReadingHead, Call, Node.Now, {}};
}

// Returns 0 within the failure domain, 1 within the region, 2 beyond it, in the
// order of the cost of traffic.
int getDistance(const core::State &Node,
                const membership::MemberRecord &Record) {
  if (Record.Domain == Node.Self.Domain)
    return 0;
  return Record.Region == Node.Self.Region ? 1 : 2;
}

// Returns a random peer of the nearest alive ones with a newer version, null if
// there is none.
const membership::MemberRecord *chooseFetchPeer(core::State &Node) {
  std::vector<const membership::MemberRecord *> Nearest;
  int Distance = 3;
  for (const auto &[Name, Member] : Node.Membership.Members) {
    const membership::MemberRecord &Record = Member.Record;
    if (!isAlive(Record) || Record.Version <= Node.Config.Document.Version)
      continue;
    int PeerDistance = getDistance(Node, Record);
    if (PeerDistance < Distance)
      Nearest.clear();
    Distance = std::min(Distance, PeerDistance);
    if (PeerDistance == Distance)
      Nearest.push_back(&Record);
  }
  if (Nearest.empty())
    return nullptr;
  return Nearest[base::uniformBelow(Node.Random, Nearest.size())];
}

bool isLagging(const core::State &Node) {
  return Node.Config.NewestKnown > Node.Config.Document.Version &&
         Node.Config.NewestKnown != Node.Config.Unreadable;
}

// Fetches a newer version from a peer or reads the store's head row, unless a
// catch-up is in progress. Prefers peers: fetching from them puts no load on
// the store and works while the store is unavailable. After failures, attempts
// alternate between the store and the peers. Without a peer to fetch from, the
// head row is read when its next poll is due.
void startCatchUp(core::State &Node, core::EffectList &Effects) {
  if (Node.Config.CatchUp.Phase != CatchUpPhase::Idle)
    return;
  bool TryStore = hasHeadRow(Node) && Node.Config.FailedCatchUps % 2 == 1;
  const membership::MemberRecord *Peer =
      isLagging(Node) && !TryStore ? chooseFetchPeer(Node) : nullptr;
  if (Peer)
    return startFetch(Node, Peer->Name, Peer->PeerAddress, Effects);
  if (!hasHeadRow(Node) || (Node.Now < Node.Config.NextPoll && !TryStore))
    return;
  auto NodeCount =
      static_cast<std::int64_t>(Node.Membership.Members.size() + 1);
  Node.Config.NextPoll =
      Node.Now + std::max(MinPollInterval, FleetPollInterval * NodeCount);
  readHead(Node, Effects);
}

void endCatchUp(core::State &Node, bool Failed) {
  Node.Config.CatchUp = CatchUpState();
  Node.Config.FailedCatchUps = Failed ? Node.Config.FailedCatchUps + 1 : 0;
}

void parseTarget(core::State &Node, const ConfigDocument &Target,
                 core::EffectList &Effects) {
  base::CallId Call = core::nextCallId(Node);
  Node.Config.CatchUp =
      CatchUpState{CatchUpPhase::Parsing, Call, Node.Now, Target};
  Effects.push_back(core::ParseConfig{
      Call, AssembleRequest{"", Target.Parts, Node.Config.Document.Parts,
                            Node.Config.Current}});
}

} // namespace

bool hasHeadRow(const core::State &Node) {
  return !Node.Self.Embedded && Node.Self.Feed.Table.empty();
}

base::CallId callStore(core::State &Node, base::StoreOperation Operation,
                       core::EffectList &Effects) {
  base::CallId Call = core::nextCallId(Node);
  Effects.push_back(
      core::CallStore{Call, std::move(Operation), StoreCallTimeout});
  return Call;
}

void scheduleFirstRound(core::State &Node) {
  Node.Config.NextPoll = Node.Now + FirstPollDelay;
  scheduleFirstCollection(Node);
  core::setTimer(Node.Timers, Node.Now + RoundInterval, core::ConfigRound{});
}

bool installVersion(core::State &Node, const ConfigDocument &Document,
                    const ConfigurationPtr &Config, core::EffectList &Effects) {
  ConfigState &State = Node.Config;
  State.NewestKnown = std::max(State.NewestKnown, Document.Version);
  if (Document.Version <= State.Document.Version || !Config)
    return false;
  State.Document = Document;
  State.Current = Config;
  Node.Membership.Self.Version = Document.Version;
  Effects.push_back(core::ServeConfig{Document});
  Effects.push_back(core::SetCallerLimits{Config->Callers});
  Effects.push_back(core::Measure{core::Metric::ConfigInForce, "", "",
                                  static_cast<double>(Document.Version.Value)});
  Effects.push_back(
      core::LogLine{core::LogLevel::Info,
                    "config_in_force",
                    {{"version", std::to_string(Document.Version.Value)},
                     {"author", Document.Author},
                     {"push", Document.Push.Value}}});
  becomeReady(Node, Effects);
  notifyPeers(Node, Effects);
  onVersionInForce(Node, Effects);
  return true;
}

void noteVersion(core::State &Node, const membership::PeerMessage &Message,
                 core::EffectList &Effects) {
  ConfigState &State = Node.Config;
  State.NewestKnown = std::max(State.NewestKnown, Message.Version);
  if (Message.Version <= State.Document.Version ||
      Message.Version == State.Unreadable ||
      State.CatchUp.Phase != CatchUpPhase::Idle)
    return;
  for (const membership::MemberRecord &Record : Message.Members)
    if (Record.Name == Message.From && Record.Version > State.Document.Version)
      return startFetch(Node, Message.From, Message.FromAddress, Effects);
  if (const membership::MemberRecord *Peer = chooseFetchPeer(Node))
    startFetch(Node, Peer->Name, Peer->PeerAddress, Effects);
}

void onConfigFetched(core::State &Node, const core::ConfigFetched &Fetched,
                     core::EffectList &Effects) {
  if (Node.Config.CatchUp.Phase != CatchUpPhase::Fetching ||
      Node.Config.CatchUp.Call != Fetched.Call)
    return;
  std::optional<ConfigDocument> Target;
  if (Fetched.Found && Fetched.Delta.Version > Node.Config.Document.Version)
    Target = applyDelta(Node.Config.Document, Fetched.Delta);
  if (Target)
    return parseTarget(Node, *Target, Effects);
  endCatchUp(Node, true);
}

bool onCatchUpParsed(core::State &Node, const core::ConfigParsed &Parsed,
                     core::EffectList &Effects) {
  if (Node.Config.CatchUp.Phase != CatchUpPhase::Parsing ||
      Node.Config.CatchUp.Call != Parsed.Call)
    return false;
  ConfigDocument Target = std::move(Node.Config.CatchUp.Target);
  endCatchUp(Node, !Parsed.Config);
  if (Parsed.Config) {
    installVersion(Node, Target, Parsed.Config, Effects);
  } else {
    Node.Config.Unreadable = Target.Version;
    Effects.push_back(
        core::LogLine{core::LogLevel::Error,
                      "config_unreadable",
                      {{"version", std::to_string(Target.Version.Value)},
                       {"error", Parsed.Error}}});
  }
  return true;
}

// A head row older than the version in force is outdated data of the store:
// versions never decrease.
bool onCatchUpHeadRead(core::State &Node, const core::StoreAnswered &Answer,
                       core::EffectList &Effects) {
  if (Node.Config.CatchUp.Phase != CatchUpPhase::ReadingHead ||
      Node.Config.CatchUp.Call != Answer.Call)
    return false;
  std::optional<HeadRow> Head;
  if (Answer.Result.Status == base::StoreStatus::Done &&
      !Answer.Result.Rows.empty())
    Head = parseHeadRow(Answer.Result.Rows.front());
  endCatchUp(Node, !Head && isLagging(Node));
  if (!Head)
    return true;
  if (Head->Version > Node.Config.Document.Version &&
      Head->Version != Node.Config.Unreadable) {
    Node.Config.NewestKnown = std::max(Node.Config.NewestKnown, Head->Version);
    catchUpFromStore(Node, *Head, Effects);
  } else if (Head->Version < Node.Config.Document.Version) {
    Effects.push_back(core::LogLine{
        core::LogLevel::Warn,
        "config_store_lags",
        {{"store", std::to_string(Head->Version.Value)},
         {"in_force", std::to_string(Node.Config.Document.Version.Value)}}});
  }
  return true;
}

void catchUpFromStore(core::State &Node, const HeadRow &Head,
                      core::EffectList &Effects) {
  base::CallId Load = startLoad(Node, Head, std::nullopt, Effects);
  Node.Config.CatchUp = CatchUpState{CatchUpPhase::Loading, Load, Node.Now, {}};
}

void onVersionLoaded(core::State &Node,
                     const std::optional<ConfigDocument> &Document,
                     core::EffectList &Effects) {
  if (Document && Document->Version > Node.Config.Document.Version)
    return parseTarget(Node, *Document, Effects);
  endCatchUp(Node, !Document);
}

// Ends a step whose answer is overdue, so that a lost answer doesn't block
// catch-up. Loading is exempt: it takes long for a large version, and each of
// its store calls has its own timeout.
void onConfigRound(core::State &Node, core::EffectList &Effects) {
  CatchUpState &CatchUp = Node.Config.CatchUp;
  if ((CatchUp.Phase == CatchUpPhase::Fetching ||
       CatchUp.Phase == CatchUpPhase::ReadingHead) &&
      Node.Now - CatchUp.PhaseStartedAt > StepTimeout)
    endCatchUp(Node, true);
  startCatchUp(Node, Effects);
  resumePush(Node, Effects);
  onCollectRound(Node, Effects);
  becomeReady(Node, Effects);
  core::setTimer(Node.Timers, Node.Now + RoundInterval, core::ConfigRound{});
}

} // namespace currantgauge::config
