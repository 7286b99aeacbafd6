#include "currantgauge/actions/quarantine.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace currantgauge::actions {
namespace {

constexpr std::size_t DeathsToQuarantine = 2; // different backend servers
constexpr base::Duration SuspicionTime = base::minutes(10);
constexpr std::size_t SuspectLimit = 10000;

bool isConfirmed(const Suspect &Of) {
  return !Of.Record.Cleared && Of.Record.Crashed.size() >= DeathsToQuarantine;
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

Suspect *findSuspect(ActionState &State, base::Fingerprint Print) {
  auto Found = State.Suspects.find(Print);
  return Found == State.Suspects.end() ? nullptr : &Found->second;
}

// Returns true when the death of Server was news.
bool addDeath(Suspect &Of, const base::BackendName &Server) {
  auto &Crashed = Of.Record.Crashed;
  if (std::find(Crashed.begin(), Crashed.end(), Server) != Crashed.end())
    return false;
  Crashed.push_back(Server);
  std::sort(Crashed.begin(), Crashed.end());
  return true;
}

void tellPeers(core::State &Node, const Suspect &Of) {
  // membership::queueRumour(Node.Membership, Of.Record) spreads it.
}

void logQuarantine(const Suspect &Of, core::EffectList &Effects) {
  Effects.push_back(core::LogLine{core::LogLevel::Warn,
                                  "request_quarantined",
                                  {{"fingerprint", printText(Of.Record.Print)},
                                   {"service", Of.Record.Service.Value},
                                   {"kind", Of.Record.Kind.Value},
                                   {"servers", joined(Of.Record.Crashed)}}});
}

Suspect &suspectFor(core::State &Node, base::Fingerprint Print) {
  auto [Place, New] = Node.Actions.Suspects.try_emplace(Print);
  Place->second.LastSeen = Node.Now;
  return Place->second;
}

// A death after an operator's clearing starts anew, under a later time.
void restart(Suspect &Of, base::UnixTime Wall) {
  Of.Record.Cleared = false;
  Of.Record.Crashed.clear();
  Of.Record.Since.Millis = std::max(Wall.Millis, Of.Record.Since.Millis + 1);
}

void mergeRecord(core::State &Node, const membership::QuarantineRecord &Word,
                 core::EffectList &Effects) {
  if (!findSuspect(Node.Actions, Word.Print) &&
      Node.Actions.Suspects.size() >= SuspectLimit)
    return;
  Suspect &Of = suspectFor(Node, Word.Print);
  bool Was = isConfirmed(Of);
  membership::QuarantineRecord &Mine = Of.Record;
  bool Newer = Mine.Print != Word.Print || Word.Since > Mine.Since;
  if (Newer && (Word.Cleared || Mine.Cleared || Mine.Crashed.empty())) {
    Mine = Word;
    std::erase_if(Mine.Crashed, [&](const base::BackendName &Server) {
      return Of.Exonerated.contains(Server);
    });
  } else if (Word.Cleared && Word.Since >= Mine.Since) {
    Mine.Cleared = true;
  } else if (!Word.Cleared && !Mine.Cleared) {
    for (const base::BackendName &Server : Word.Crashed)
      if (!Of.Exonerated.contains(Server))
        addDeath(Of, Server);
  }
  if (!Was && isConfirmed(Of))
    logQuarantine(Of, Effects);
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
  auto Found = State.Suspects.find(Print);
  return Found != State.Suspects.end() && isConfirmed(Found->second);
}

void noteDeath(core::State &Node, base::Fingerprint Print,
               const config::KindSettings &Kind,
               const base::BackendName &Server, core::EffectList &Effects) {
  if (!findSuspect(Node.Actions, Print) &&
      Node.Actions.Suspects.size() >= SuspectLimit)
    return;
  Suspect &Of = suspectFor(Node, Print);
  bool Was = isConfirmed(Of);
  Of.Record.Print = Print;
  Of.Record.Service = Kind.Service;
  Of.Record.Kind = Kind.Name;
  if (Of.Record.Cleared)
    restart(Of, Node.Wall);
  else if (Of.Record.Crashed.empty())
    Of.Record.Since = std::max(Of.Record.Since, Node.Wall);
  Of.Exonerated.erase(Server);
  if (!addDeath(Of, Server))
    return;
  tellPeers(Node, Of);
  if (!Was && isConfirmed(Of))
    logQuarantine(Of, Effects);
}

void judgeDeath(core::State &Node, const admission::QueuedAttempt &Attempt,
                const core::BackendOutcome &Seen, core::AttemptOutcome &Outcome,
                core::EffectList &Effects) {
  if (!Seen.ProcessDied || !Seen.AnyByteSent)
    return;
  config::KindSettings Kind;
  Kind.Name = Attempt.Facts.Kind;
  Kind.Service = Attempt.Facts.Service;
  noteDeath(Node, Attempt.Facts.Print, Kind, Attempt.Server, Effects);
  Outcome.ServerDied = true;
  Outcome.RequestAtFault = isQuarantined(Node.Actions, Attempt.Facts.Print);
}

// A popular request runs somewhere whenever a server dies for another reason;
// a whole answer since then tells it from one that kills.
void exonerate(ActionState &State, base::Fingerprint Print) {
  Suspect *Of = findSuspect(State, Print);
  if (!Of || Of->Record.Cleared || isConfirmed(*Of))
    return;
  Of->Exonerated.insert(Of->Record.Crashed.begin(), Of->Record.Crashed.end());
  Of->Record.Crashed.clear();
}

void mergeQuarantine(core::State &Node,
                     const std::vector<membership::QuarantineRecord> &Records,
                     core::EffectList &Effects) {
  for (const membership::QuarantineRecord &Word : Records)
    mergeRecord(Node, Word, Effects);
}

void forgetOldSuspects(core::State &Node) {
  std::erase_if(Node.Actions.Suspects, [&](const auto &Item) {
    return !isConfirmed(Item.second) &&
           Node.Now - Item.second.LastSeen > SuspicionTime;
  });
}

core::OperatorReply listQuarantine(const ActionState &State) {
  core::OperatorReply Reply;
  core::OperatorTable Table{
      "quarantine",
      {"fingerprint", "service", "kind", "servers", "since", "state"},
      {}};
  for (const auto &[Print, Of] : State.Suspects) {
    const char *Phase = Of.Record.Cleared ? "cleared"
                        : isConfirmed(Of) ? "quarantined"
                                          : "suspected";
    if (Of.Record.Cleared || !Of.Record.Crashed.empty())
      Table.Rows.push_back({printText(Print), Of.Record.Service.Value,
                            Of.Record.Kind.Value, joined(Of.Record.Crashed),
                            std::to_string(Of.Record.Since.Millis), Phase});
  }
  Reply.Tables.push_back(std::move(Table));
  return Reply;
}

core::OperatorReply clearQuarantine(core::State &Node,
                                    base::Fingerprint Print) {
  core::OperatorReply Reply;
  Suspect *Of = findSuspect(Node.Actions, Print);
  if (!Of) {
    Reply.Error = "no quarantined request " + printText(Print);
    return Reply;
  }
  Of->Record.Cleared = true;
  Of->LastSeen = Node.Now;
  tellPeers(Node, *Of);
  Reply.Fields = {{"fingerprint", printText(Print)}, {"state", "cleared"}};
  return Reply;
}

} // namespace currantgauge::actions
