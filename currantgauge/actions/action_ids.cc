#include "currantgauge/actions/action_ids.h"

#include "currantgauge/actions/action_id.h"

#include <optional>

namespace currantgauge::actions {
namespace {

constexpr base::Duration IdLifetime = base::minutes(5);
// An id's record still answers queries for this time after the id has expired.
constexpr base::Duration IdRetention = base::minutes(5);
constexpr std::size_t IdRecordLimit = 100000;

core::AttemptOutcome outcome(base::Verdict Verdict, base::Reason Reason) {
  core::AttemptOutcome Outcome;
  Outcome.Verdict = Verdict;
  Outcome.Reason = Reason;
  return Outcome;
}

core::AttemptOutcome permission() {
  core::AttemptOutcome Outcome =
      outcome(base::Verdict::NotRun, base::Reason::None);
  Outcome.Permitted = true;
  return Outcome;
}

core::AttemptOutcome referTo(const base::NodeName &Holder) {
  core::AttemptOutcome Outcome =
      outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  Outcome.ReferredNode = Holder;
  return Outcome;
}

// PermissionQuery requests the permission of an id, for a request of this entry
// or of another one.
struct PermissionQuery {
  base::ActionToken Token;
  base::BodyHash Body;
  base::NodeName Entry;
  base::RequestId Request;
  bool AtEntry = false; // this node is the entry of the request
};

IdRecord *findRecord(core::State &Node, const base::ActionToken &Token) {
  auto It = Node.Actions.Ids.find(Token);
  return It == Node.Actions.Ids.end() ? nullptr : &It->second;
}

IdRecord &addRecord(core::State &Node, const base::ActionToken &Token,
                    base::BodyHash Body) {
  auto [It, Inserted] = Node.Actions.Ids.try_emplace(Token);
  if (Inserted)
    Node.Actions.IdsByExpiry.emplace(Node.Now + IdLifetime + IdRetention,
                                     Token);
  It->second.Body = Body;
  return It->second;
}

core::AttemptOutcome permit(core::State &Node, IdRecord &Record,
                            const PermissionQuery &Query) {
  Record.Holder = Query.Entry;
  Record.Placed = false;
  Record.UsedBy =
      Query.Entry == Node.Self.Name ? Query.Request : base::RequestId();
  return permission();
}

core::AttemptOutcome answerFromRecord(core::State &Node, IdRecord &Record,
                                      const PermissionQuery &Query) {
  if (Record.Body != Query.Body)
    return outcome(base::Verdict::NotRun, base::Reason::ActionMismatch);
  bool IsHeldHere = Record.Holder == Node.Self.Name;
  if (!IsHeldHere || (Record.Placed && Query.AtEntry))
    return referTo(Record.Holder);
  // The attempt was sent to this node as owner, which no longer has its claim.
  if (Record.Placed)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  if (Record.UsedBy != base::RequestId())
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionRunning);
  return permit(Node, Record, Query);
}

// answerUnrecorded() answers for an id without a record. Only the incarnation
// that issued the id can tell that it was not used. After expiry it still can
// while records of that time are retained.
core::AttemptOutcome answerUnrecorded(core::State &Node, const ActionId &Id,
                                      const PermissionQuery &Query) {
  if (Id.Issuer != Node.Self.Name)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  if (Id.Incarnation != Node.Self.Incarnation)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionForeign);
  if (Node.Now >= Id.Expires + IdRetention)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionExpired);
  if (Node.Now >= Id.Expires)
    return outcome(base::Verdict::NotRun, base::Reason::ActionExpired);
  if (Node.Actions.Ids.size() >= IdRecordLimit)
    return outcome(base::Verdict::NotRun, base::Reason::ShedByPressure);
  return permit(Node, addRecord(Node, Query.Token, Query.Body), Query);
}

core::AttemptOutcome answerQuery(core::State &Node,
                                 const PermissionQuery &Query) {
  std::optional<ActionId> Id =
      verifyActionId(Query.Token, Node.Self.ActionSecret);
  if (!Id)
    return outcome(base::Verdict::NotRun, base::Reason::ActionForged);
  if (IdRecord *Record = findRecord(Node, Query.Token))
    return answerFromRecord(Node, *Record, Query);
  if (Id->Issuer != Node.Self.Name && Query.AtEntry)
    return referTo(Id->Issuer);
  return answerUnrecorded(Node, *Id, Query);
}

} // namespace

void onActionIdRequested(core::State &Node,
                         const core::ActionIdRequested &Requested,
                         core::EffectList &Effects) {
  core::AnswerActionId Answer;
  Answer.Request = Requested.Request;
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

core::AttemptOutcome answerPermissionQuery(core::State &Node,
                                           const core::AttemptFacts &Facts) {
  return answerQuery(Node, PermissionQuery{Facts.Action, Facts.BodyHash,
                                           Facts.Entry, Facts.Request, false});
}

core::AttemptOutcome queryPermission(core::State &Node,
                                     const core::RequestFacts &Facts) {
  return answerQuery(Node,
                     PermissionQuery{Facts.Action, Facts.BodyHash,
                                     Node.Self.Name, Facts.Request, true});
}

void notePermitted(core::State &Node, const core::RequestFacts &Facts) {
  IdRecord &Record = addRecord(Node, Facts.Action, Facts.BodyHash);
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
