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
  Outcome.What = What;
  Outcome.Why = Why;
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
  Outcome.Elsewhere = Holder;
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
    Node.Actions.IdsByExpiry.emplace(Node.Now + IdLifetime + IdRetention,
                                     Token);
  Place->second.Body = Body;
  return Place->second;
}

core::AttemptOutcome permit(core::State &Node, IdRecord &Record,
                            const Ask &From) {
  Record.Holder = From.Entry;
  Record.Placed = false;
  Record.UsedBy =
      From.Entry == Node.Self.Name ? From.Request : base::RequestId();
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
  if (Record.UsedBy != base::RequestId())
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionRunning);
  return permit(Node, Record, From);
}

// Only the incarnation that issued an id knows that nobody took it. Past its
// expiry it still knows so while the records of that time are kept.
core::AttemptOutcome answerFresh(core::State &Node, const ActionId &Id,
                                 const Ask &From) {
  if (Id.Issuer != Node.Self.Name)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  if (Id.Incarnation != Node.Self.Life)
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

void onActionIdAsked(core::State &Node, const core::ActionIdAsked &Asked,
                     core::EffectList &Effects) {
  core::AnswerActionId Answer;
  Answer.Request = Asked.Request;
  if (Node.Self.ActionSecret.empty())
    Answer.Why = base::Reason::NoConfiguration;
  else if (Node.Stopping)
    Answer.Why = base::Reason::NodeStopping;
  if (Answer.Why == base::Reason::None) {
    Answer.Action =
        signActionId(ActionId{Node.Self.Name, Node.Self.Life,
                              ++Node.Actions.LastId, Node.Now + IdLifetime},
                     Node.Self.ActionSecret);
    Answer.ValidFor = IdLifetime;
  }
  Effects.push_back(Answer);
}

core::AttemptOutcome answerPermissionQuery(core::State &Node,
                                           const core::AttemptFacts &Facts) {
  return answer(
      Node, Ask{Facts.Action, Facts.Body, Facts.Entry, Facts.Request, false});
}

core::AttemptOutcome queryPermission(core::State &Node,
                                     const core::RequestFacts &Facts) {
  return answer(
      Node, Ask{Facts.Action, Facts.Body, Node.Self.Name, Facts.Request, true});
}

void notePermitted(core::State &Node, const core::RequestFacts &Facts) {
  IdRecord &Record = addRecord(Node, Facts.Action, Facts.Body);
  Record.Holder = Node.Self.Name;
  Record.Placed = false;
  Record.UsedBy = Facts.Request;
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
  if (Record && Record->UsedBy == Facts.Request)
    Record->UsedBy = base::RequestId();
}

void eraseExpiredIds(core::State &Node) {
  auto &ByAge = Node.Actions.IdsByExpiry;
  while (!ByAge.empty() && ByAge.begin()->first <= Node.Now) {
    Node.Actions.Ids.erase(ByAge.begin()->second);
    ByAge.erase(ByAge.begin());
  }
}

} // namespace currantgauge::actions
