#include "currantgauge/actions/action_ids.h"

#include "currantgauge/actions/action_id.h"

#include <optional>

namespace currantgauge::actions {
namespace {

constexpr base::Duration IdLifetime = base::minutes(5);
// After an id's expiry its record still answers asks for this time.
constexpr base::Duration IdRetention = base::minutes(5);
constexpr std::size_t IdRecordLimit = 100000;

core::AttemptOutcome outcome(base::Verdict What, base::Reason Why) {
  core::AttemptOutcome Outcome;
  Outcome.Verdict = What;
  Outcome.Reason = Why;
  return Outcome;
}

core::AttemptOutcome permission() {
  core::AttemptOutcome Outcome =
      outcome(base::Verdict::NotRun, base::Reason::None);
  Outcome.Permitted = true;
  return Outcome;
}

core::AttemptOutcome elsewhere(const base::NodeName &Holder) {
  core::AttemptOutcome Outcome =
      outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  Outcome.ReferredNode = Holder;
  return Outcome;
}

// Ask is one ask for an id, from a request here or from another entry.
struct Ask {
  base::ActionToken Token;
  base::BodyHash Body;
  base::NodeName Entry;
  base::RequestId Request;
  bool AtEntry = false; // else at a node that the entry was sent to
};

IdRecord *findRecord(core::State &Node, const base::ActionToken &Token) {
  auto Found = Node.Actions.Ids.find(Token);
  return Found == Node.Actions.Ids.end() ? nullptr : &Found->second;
}

IdRecord &addRecord(core::State &Node, const base::ActionToken &Token,
                    base::BodyHash Body) {
  auto [Place, New] = Node.Actions.Ids.try_emplace(Token);
  if (New)
    Node.Actions.IdsByAge.emplace(Node.Now + IdLifetime + IdRetention, Token);
  Place->second.Body = Body;
  return Place->second;
}

core::AttemptOutcome permit(core::State &Node, IdRecord &Record,
                            const Ask &From) {
  Record.Holder = From.Entry;
  Record.Placed = false;
  Record.User = From.Entry == Node.Self.Name ? From.Request : base::RequestId();
  return permission();
}

core::AttemptOutcome answerRecord(core::State &Node, IdRecord &Record,
                                  const Ask &From) {
  if (Record.Body != From.Body)
    return outcome(base::Verdict::NotRun, base::Reason::ActionMismatch);
  bool IsHere = Record.Holder == Node.Self.Name;
  if (!IsHere || (Record.Placed && From.AtEntry))
    return elsewhere(Record.Holder);
  // It was placed with this node as its owner, which no longer remembers it.
  if (Record.Placed)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  if (Record.User != base::RequestId())
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionRunning);
  return permit(Node, Record, From);
}

// Only the incarnation that issued an id knows that nobody took it. Past its
// expiry it still knows so while the records of that time are kept.
core::AttemptOutcome answerFresh(core::State &Node, const ActionId &Id,
                                 const Ask &From) {
  if (Id.Issuer != Node.Self.Name)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  if (Id.Life != Node.Self.Incarnation)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionForeign);
  if (Node.Now >= Id.Expires + IdRetention)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionExpired);
  if (Node.Now >= Id.Expires)
    return outcome(base::Verdict::NotRun, base::Reason::ActionExpired);
  if (Node.Actions.Ids.size() >= IdRecordLimit)
    return outcome(base::Verdict::NotRun, base::Reason::ShedByPressure);
  return permit(Node, addRecord(Node, From.Token, From.Body), From);
}

core::AttemptOutcome answer(core::State &Node, const Ask &From) {
  std::optional<ActionId> Id =
      verifyActionId(From.Token, Node.Self.ActionSecret);
  if (!Id)
    return outcome(base::Verdict::NotRun, base::Reason::ActionForged);
  if (IdRecord *Record = findRecord(Node, From.Token))
    return answerRecord(Node, *Record, From);
  if (Id->Issuer != Node.Self.Name && From.AtEntry)
    return elsewhere(Id->Issuer);
  return answerFresh(Node, *Id, From);
}

} // namespace

void onActionIdAsked(core::State &Node, const core::ActionIdRequested &Asked,
                     core::EffectList &Effects) {
  core::AnswerActionId Answer;
  Answer.Request = Asked.Request;
  if (Node.Self.ActionSecret.empty())
    Answer.Reason = base::Reason::NoConfiguration;
  else if (Node.Stopping)
    Answer.Reason = base::Reason::NodeStopping;
  if (Answer.Reason == base::Reason::None) {
    Answer.Action =
        signActionId(ActionId{Node.Self.Name, Node.Self.Incarnation,
                              ++Node.Actions.LastId, Node.Now + IdLifetime},
                     Node.Self.ActionSecret);
    Answer.ValidFor = IdLifetime;
  }
  Effects.push_back(Answer);
}

core::AttemptOutcome askForId(core::State &Node,
                              const core::AttemptFacts &Facts) {
  return answer(Node, Ask{Facts.Action, Facts.BodyHash, Facts.Entry,
                          Facts.Request, false});
}

core::AttemptOutcome askAsEntry(core::State &Node,
                                const core::RequestFacts &Facts) {
  return answer(Node, Ask{Facts.Action, Facts.BodyHash, Node.Self.Name,
                          Facts.Request, true});
}

void notePermitted(core::State &Node, const core::RequestFacts &Facts) {
  IdRecord &Record = addRecord(Node, Facts.Action, Facts.BodyHash);
  Record.Holder = Node.Self.Name;
  Record.Placed = false;
  Record.User = Facts.Request;
}

void notePlaced(core::State &Node, const core::RequestFacts &Facts,
                const base::NodeName &Owner) {
  if (IdRecord *Record = findRecord(Node, Facts.Action)) {
    Record->Holder = Owner;
    Record->Placed = true;
  }
}

void noteNotRun(core::State &Node, const core::RequestFacts &Facts) {
  if (IdRecord *Record = findRecord(Node, Facts.Action)) {
    Record->Holder = Node.Self.Name;
    Record->Placed = false;
  }
}

void noteRequestEnded(core::State &Node, const core::RequestFacts &Facts) {
  IdRecord *Record = findRecord(Node, Facts.Action);
  if (Record && Record->User == Facts.Request)
    Record->User = base::RequestId();
}

void forgetOldIds(core::State &Node) {
  auto &ByAge = Node.Actions.IdsByAge;
  while (!ByAge.empty() && ByAge.begin()->first <= Node.Now) {
    Node.Actions.Ids.erase(ByAge.begin()->second);
    ByAge.erase(ByAge.begin());
  }
}

} // namespace currantgauge::actions
