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

constexpr std::size_t DeathsToQuarantine = 2; // different backend servers
constexpr base::Duration SuspicionTime = base::minutes(10);
constexpr std::size_t RecordLimit = 10000;
constexpr std::size_t HintLimit = 1000;
constexpr base::Duration RenewalDelay = base::milliseconds(500);

bool isConfirmed(const QuarantineRecord &Of) {
  return !Of.Cleared && Of.Crashed.size() >= DeathsToQuarantine;
}

std::string printText(base::Fingerprint Print) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Text += Digits[(Print.Value >> Shift) & 0xf];
  return Text;
}

std::string joined(const std::vector<base::BackendName> &Names) {
  std::string Text;
  for (const base::BackendName &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name.Value;
  return Text;
}

QuarantineRecord *findRecord(core::State &Node, base::Fingerprint Print) {
  auto Found = Node.Actions.Quarantine.find(Print);
  return Found == Node.Actions.Quarantine.end() ? nullptr : &Found->second;
}

void tellPeers(core::State &Node, const QuarantineRecord &Of) {
  membership::queueRumour(Node.Membership, Of);
}

void logQuarantine(const QuarantineRecord &Of, core::EffectList &Effects) {
  Effects.push_back(core::LogLine{core::LogLevel::Warn,
                                  "request_quarantined",
                                  {{"fingerprint", printText(Of.Fingerprint)},
                                   {"service", Of.Service.Value},
                                   {"kind", Of.Kind.Value},
                                   {"servers", joined(Of.Crashed)}}});
}

// A death after a clearing starts anew, under a later time: of a cleared and
// an open record the later one holds.
void addDeath(QuarantineRecord &Of, const base::BackendName &Server,
              base::UnixTime Wall) {
  if (Of.Cleared) {
    Of.Cleared = false;
    Of.Crashed.clear();
    Wall.Millis = std::max(Wall.Millis, Of.Since.Millis + 1);
  }
  Of.Since = std::max(Of.Since, Wall);
  Of.Crashed.push_back(Server);
  std::sort(Of.Crashed.begin(), Of.Crashed.end());
}

bool contains(const std::vector<base::BackendName> &Names,
              const base::BackendName &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

void noteDeath(core::State &Node, const DeathHint &Hint,
               core::EffectList &Effects) {
  auto &Table = Node.Actions.Quarantine;
  if (!findRecord(Node, Hint.Print) && Table.size() >= RecordLimit)
    return;
  QuarantineRecord &Of = Table[Hint.Print];
  bool Was = isConfirmed(Of);
  Of.Fingerprint = Hint.Print;
  Of.Service = Hint.Service;
  Of.Kind = Hint.Kind;
  if (!Of.Cleared && contains(Of.Crashed, Hint.Server))
    return;
  addDeath(Of, Hint.Server, Node.Wall);
  tellPeers(Node, Of);
  if (!Was && isConfirmed(Of))
    logQuarantine(Of, Effects);
}

bool diedElsewhere(const ActionState &State, base::Fingerprint Print,
                   const base::BackendName &Here) {
  for (const DeathHint &Hint : State.DeathHints)
    if (Hint.Print == Print && Hint.Server != Here)
      return true;
  auto Found = State.Quarantine.find(Print);
  return Found != State.Quarantine.end() && !Found->second.Cleared &&
         std::any_of(
             Found->second.Crashed.begin(), Found->second.Crashed.end(),
             [&](const base::BackendName &Name) { return Name != Here; });
}

} // namespace

base::Fingerprint fingerprintOf(const core::RequestFacts &Facts,
                                const config::KindSettings &Kind) {
  std::string Text = Kind.Service.Value + '\n' + Kind.Name.Value + '\n' +
                     Facts.Method + '\n' + Facts.Path + '\n' +
                     std::to_string(Facts.Body.Value);
  return base::Fingerprint(XXH64(Text.data(), Text.size(), 0));
}

bool isQuarantined(const ActionState &State, base::Fingerprint Print) {
  auto Found = State.Quarantine.find(Print);
  return Found != State.Quarantine.end() && isConfirmed(Found->second);
}

void judgeDeath(core::State &Node, const admission::QueuedAttempt &Attempt,
                const core::BackendOutcome &Seen, core::AttemptOutcome &Outcome,
                core::EffectList &Effects) {
  if (!Seen.ProcessDied || !Seen.AnyByteSent)
    return;
  Outcome.ServerDied = true;
  Outcome.RequestAtFault =
      diedElsewhere(Node.Actions, Attempt.Facts.Print, Attempt.Server);
  auto Server = Node.Routing.Servers.find(Attempt.Server);
  if (Server == Node.Routing.Servers.end() ||
      Node.Actions.DeathHints.size() >= HintLimit)
    return;
  Node.Actions.DeathHints.push_back(
      DeathHint{Attempt.Facts.Print, Attempt.Facts.Service, Attempt.Facts.Kind,
                Attempt.Server, Server->second.Record.Life, Node.Now});
}

// A renewal under the old incarnation proves that the process lives, unless it
// was on its way when the process died.
void onServerWord(core::State &Node, const base::BackendName &Server,
                  base::Incarnation Life, core::EffectList &Effects) {
  auto Settled = [&](const DeathHint &Hint) {
    if (Hint.Server != Server)
      return false;
    if (Life > Hint.Life)
      noteDeath(Node, Hint, Effects);
    return Life > Hint.Life || Node.Now - Hint.Since > RenewalDelay;
  };
  std::erase_if(Node.Actions.DeathHints, Settled);
}

void confirmSilentDeaths(core::State &Node, core::EffectList &Effects) {
  auto Settled = [&](const DeathHint &Hint) {
    auto Found = Node.Routing.Servers.find(Hint.Server);
    bool Silent = Found == Node.Routing.Servers.end() ||
                  Found->second.Record.Phase == routing::BackendPhase::Gone;
    if (Silent)
      noteDeath(Node, Hint, Effects);
    return Silent;
  };
  std::erase_if(Node.Actions.DeathHints, Settled);
}

// A popular request runs somewhere whenever a server dies for another reason;
// a whole answer since then tells it from one that kills. Since stays, so that
// all nodes that find this out write the same record.
void exonerate(core::State &Node, base::Fingerprint Print) {
  if (!Node.Actions.DeathHints.empty())
    std::erase_if(Node.Actions.DeathHints,
                  [&](const DeathHint &Hint) { return Hint.Print == Print; });
  QuarantineRecord *Of = findRecord(Node, Print);
  if (!Of || Of->Cleared || isConfirmed(*Of))
    return;
  Of->Cleared = true;
  tellPeers(Node, *Of);
}

void forgetOldQuarantine(core::State &Node) {
  std::erase_if(Node.Actions.Quarantine, [&](const auto &Item) {
    return !isConfirmed(Item.second) &&
           Node.Wall.Millis - Item.second.Since.Millis >
               base::toMillis(SuspicionTime);
  });
}

core::OperatorReply listQuarantine(const ActionState &State) {
  core::OperatorReply Reply;
  core::OperatorTable Table{
      "quarantine",
      {"fingerprint", "service", "kind", "servers", "since", "state"},
      {}};
  for (const auto &[Print, Of] : State.Quarantine) {
    const char *Phase = Of.Cleared        ? "cleared"
                        : isConfirmed(Of) ? "quarantined"
                                          : "suspected";
    Table.Rows.push_back({printText(Print), Of.Service.Value, Of.Kind.Value,
                          joined(Of.Crashed), std::to_string(Of.Since.Millis),
                          Phase});
  }
  Reply.Tables.push_back(std::move(Table));
  return Reply;
}

core::OperatorReply clearQuarantine(core::State &Node,
                                    base::Fingerprint Print) {
  core::OperatorReply Reply;
  QuarantineRecord *Of = findRecord(Node, Print);
  if (!Of) {
    Reply.Error = "no quarantined request " + printText(Print);
    return Reply;
  }
  Of->Cleared = true;
  Of->Since = std::max(Of->Since, Node.Wall);
  tellPeers(Node, *Of);
  Reply.Fields = {{"fingerprint", printText(Print)}, {"state", "cleared"}};
  return Reply;
}

} // namespace currantgauge::actions
