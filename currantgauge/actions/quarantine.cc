#include "currantgauge/actions/quarantine.h"

#include "currantgauge/membership/rumours.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::actions {
namespace {

using membership::QuarantineRecord;
using membership::ServerCrash;

// Of one server. Two different servers suffice, but one may also crash again
// for a reason of its own.
constexpr std::size_t CrashesToQuarantine = 3;
constexpr base::Duration SuspicionLifetime = base::minutes(10);
constexpr std::size_t MaxQuarantineRecords = 10000;
constexpr std::size_t MaxCrashHints = 1000;
// An announcement that arrives within this time after a connection broke may
// have been sent before.
constexpr base::Duration MaxAnnouncementDelay = base::milliseconds(500);

bool includesOtherServer(const std::vector<ServerCrash> &Crashes,
                         const base::BackendName &Server) {
  return std::any_of(
      Crashes.begin(), Crashes.end(),
      [&](const ServerCrash &Crash) { return Crash.Server != Server; });
}

bool isConfirmed(const QuarantineRecord &Record) {
  const std::vector<ServerCrash> &Crashes = Record.Crashes;
  return !Record.Cleared &&
         (Crashes.size() >= CrashesToQuarantine ||
          (!Crashes.empty() &&
           includesOtherServer(Crashes, Crashes.front().Server)));
}

std::string fingerprintText(base::Fingerprint Fingerprint) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Text += Digits[(Fingerprint.Value >> Shift) & 0xf];
  return Text;
}

// Names a server once for each of its crashes.
std::string joinNames(const std::vector<ServerCrash> &Crashes) {
  std::string Text;
  for (const ServerCrash &Crash : Crashes)
    Text += (Text.empty() ? "" : ", ") + Crash.Server.Value;
  return Text;
}

QuarantineRecord *findRecord(core::State &Node, base::Fingerprint Fingerprint) {
  auto It = Node.Actions.Quarantine.find(Fingerprint);
  return It == Node.Actions.Quarantine.end() ? nullptr : &It->second;
}

void notifyPeers(core::State &Node, const QuarantineRecord &Record) {
  membership::queueRumour(Node.Membership, Record);
}

void logQuarantine(const QuarantineRecord &Record, core::EffectList &Effects) {
  Effects.push_back(
      core::LogLine{core::LogLevel::Warn,
                    "request_quarantined",
                    {{"fingerprint", fingerprintText(Record.Fingerprint)},
                     {"service", Record.Service.Value},
                     {"kind", Record.Kind.Value},
                     {"servers", joinNames(Record.Crashes)}}});
}

// addCrash() adds a crash to a record. After a clearing it starts a new record
// with a later time, because the later of a cleared and an open record
// prevails.
void addCrash(QuarantineRecord &Record, const ServerCrash &Crash,
              base::UnixTime WallTime) {
  if (Record.Cleared) {
    Record.Cleared = false;
    Record.Crashes.clear();
    WallTime.Millis = std::max(WallTime.Millis, Record.Since.Millis + 1);
  }
  Record.Since = std::max(Record.Since, WallTime);
  Record.Crashes.push_back(Crash);
  std::sort(Record.Crashes.begin(), Record.Crashes.end());
}

bool contains(const std::vector<ServerCrash> &Crashes,
              const ServerCrash &Crash) {
  return std::find(Crashes.begin(), Crashes.end(), Crash) != Crashes.end();
}

void noteCrash(core::State &Node, const CrashHint &Hint,
               core::EffectList &Effects) {
  auto &Table = Node.Actions.Quarantine;
  if (!findRecord(Node, Hint.Fingerprint) &&
      Table.size() >= MaxQuarantineRecords)
    return;
  QuarantineRecord &Record = Table[Hint.Fingerprint];
  bool WasConfirmed = isConfirmed(Record);
  Record.Fingerprint = Hint.Fingerprint;
  Record.Service = Hint.Service;
  Record.Kind = Hint.Kind;
  ServerCrash Crash{Hint.Server, Hint.Incarnation};
  if (!Record.Cleared && contains(Record.Crashes, Crash))
    return;
  addCrash(Record, Crash, Node.WallTime);
  notifyPeers(Node, Record);
  if (!WasConfirmed && isConfirmed(Record))
    logQuarantine(Record, Effects);
}

bool crashedOtherServer(const ActionState &State, base::Fingerprint Fingerprint,
                        const base::BackendName &ThisServer) {
  for (const CrashHint &Hint : State.CrashHints)
    if (Hint.Fingerprint == Fingerprint && Hint.Server != ThisServer)
      return true;
  auto It = State.Quarantine.find(Fingerprint);
  return It != State.Quarantine.end() && !It->second.Cleared &&
         includesOtherServer(It->second.Crashes, ThisServer);
}

} // namespace

base::Fingerprint fingerprintOf(const core::RequestFacts &Facts,
                                const config::KindSettings &Kind) {
  std::string Text = Kind.Service.Value + '\n' + Kind.Name.Value + '\n' +
                     Facts.Method + '\n' + Facts.Path + '\n' +
                     std::to_string(Facts.BodyHash.Value);
  return base::Fingerprint(XXH64(Text.data(), Text.size(), 0));
}

bool isQuarantined(const ActionState &State, base::Fingerprint Fingerprint) {
  auto It = State.Quarantine.find(Fingerprint);
  return It != State.Quarantine.end() && isConfirmed(It->second);
}

void detectServerCrash(core::State &Node,
                       const admission::QueuedAttempt &Attempt,
                       const core::ExchangeOutcome &Exchange,
                       core::AttemptOutcome &Outcome,
                       core::EffectList &Effects) {
  if (!Exchange.SuspectedCrash || !Exchange.AnyByteSent)
    return;
  Outcome.ServerCrashed = true;
  Outcome.RequestAtFault = crashedOtherServer(
      Node.Actions, Attempt.Facts.Fingerprint, Attempt.Server);
  auto Server = Node.Routing.Servers.find(Attempt.Server);
  if (Server == Node.Routing.Servers.end() ||
      Node.Actions.CrashHints.size() >= MaxCrashHints)
    return;
  Node.Actions.CrashHints.push_back(CrashHint{
      Attempt.Facts.Fingerprint, Attempt.Facts.Service, Attempt.Facts.Kind,
      Attempt.Server, Server->second.Record.Incarnation, Node.Now});
}

// A later announcement of the same incarnation shows that the process is
// running, unless it was already in transit when the process crashed.
void onServerAnnounced(core::State &Node, const base::BackendName &Server,
                       base::Incarnation Incarnation,
                       core::EffectList &Effects) {
  auto IsSettled = [&](const CrashHint &Hint) {
    if (Hint.Server != Server)
      return false;
    if (Incarnation > Hint.Incarnation)
      noteCrash(Node, Hint, Effects);
    return Incarnation > Hint.Incarnation ||
           Node.Now - Hint.Since > MaxAnnouncementDelay;
  };
  std::erase_if(Node.Actions.CrashHints, IsSettled);
}

void confirmCrashesOfGoneServers(core::State &Node, core::EffectList &Effects) {
  auto IsSettled = [&](const CrashHint &Hint) {
    auto It = Node.Routing.Servers.find(Hint.Server);
    bool IsGone = It == Node.Routing.Servers.end() ||
                  It->second.Record.Phase == routing::BackendPhase::Gone;
    if (IsGone)
      noteCrash(Node, Hint, Effects);
    return IsGone;
  };
  std::erase_if(Node.Actions.CrashHints, IsSettled);
}

// A frequent request is likely to be running whenever a server crashes for
// another reason; a complete response after the crash shows that it is not the
// cause. Since stays unchanged so that all nodes that clear it write the same
// record.
void clearSuspicion(core::State &Node, base::Fingerprint Fingerprint) {
  if (!Node.Actions.CrashHints.empty())
    std::erase_if(Node.Actions.CrashHints, [&](const CrashHint &Hint) {
      return Hint.Fingerprint == Fingerprint;
    });
  QuarantineRecord *Record = findRecord(Node, Fingerprint);
  if (!Record || Record->Cleared || isConfirmed(*Record))
    return;
  Record->Cleared = true;
  notifyPeers(Node, *Record);
}

void eraseOldQuarantine(core::State &Node) {
  std::erase_if(Node.Actions.Quarantine, [&](const auto &Item) {
    return !isConfirmed(Item.second) &&
           Node.WallTime.Millis - Item.second.Since.Millis >
               base::toMillis(SuspicionLifetime);
  });
}

core::OperatorReply listQuarantine(const ActionState &State) {
  core::OperatorReply Reply;
  core::OperatorTable Table{
      "quarantine",
      {"fingerprint", "service", "kind", "servers", "since", "state"},
      {}};
  for (const auto &[Fingerprint, Record] : State.Quarantine) {
    const char *Phase = Record.Cleared        ? "cleared"
                        : isConfirmed(Record) ? "quarantined"
                                              : "suspected";
    Table.Rows.push_back({fingerprintText(Fingerprint), Record.Service.Value,
                          Record.Kind.Value, joinNames(Record.Crashes),
                          std::to_string(Record.Since.Millis), Phase});
  }
  Reply.Tables.push_back(std::move(Table));
  return Reply;
}

core::OperatorReply clearQuarantine(core::State &Node,
                                    base::Fingerprint Fingerprint) {
  core::OperatorReply Reply;
  QuarantineRecord *Record = findRecord(Node, Fingerprint);
  if (!Record) {
    Reply.Error = "no quarantined request " + fingerprintText(Fingerprint);
    return Reply;
  }
  Record->Cleared = true;
  Record->Since = std::max(Record->Since, Node.WallTime);
  notifyPeers(Node, *Record);
  Reply.Fields = {{"fingerprint", fingerprintText(Fingerprint)},
                  {"state", "cleared"}};
  return Reply;
}

} // namespace currantgauge::actions
