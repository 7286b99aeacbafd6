#include "currantgauge/core/request_log.h"

#include "currantgauge/admission/pressure.h"
#include "currantgauge/routing/slots.h"

#include <string>
#include <utility>

namespace currantgauge::core {
namespace {

// A wait for a slot that is told of: a quarter of the shortest aim in use.
constexpr base::Duration NotableWait = base::milliseconds(60);

std::string millis(base::Duration Span) {
  return std::to_string(base::toMillis(Span));
}

std::string text(base::Verdict What) {
  return std::string(base::verdictName(What));
}

std::string text(base::Reason Why) {
  return std::string(base::reasonName(Why));
}

// Two digits after the point.
std::string text(double Value) {
  std::string Digits = std::to_string(Value);
  return Digits.substr(0, Digits.find('.') + 3);
}

LogLine lineOf(const EntryRequest &Request, const char *Event) {
  LogLine Line{LogLevel::Info, Event, {}, LogTopic::Request};
  Line.Fields = {{"request", base::formatId(Request.Facts.Request)},
                 {"caller_attempt", Request.Facts.CallerAttempt},
                 {"kind", Request.Kind.Name.Value},
                 {"service", Request.Kind.Service.Value}};
  return Line;
}

LogLine lineOf(const admission::QueuedAttempt &Attempt, const char *Event) {
  LogLine Line{LogLevel::Info, Event, {}, LogTopic::Request};
  Line.Fields = {{"request", base::formatId(Attempt.Facts.Request)},
                 {"attempt", base::formatId(Attempt.Facts.Attempt)},
                 {"entry", Attempt.Facts.Entry.Value},
                 {"kind", Attempt.Facts.Kind.Value},
                 {"service", Attempt.Facts.Service.Value}};
  return Line;
}

// What the owner's decision rests on: its queue now, and its server.
void addQueue(const State &Node, const admission::QueuedAttempt &Attempt,
              LogLine &Line) {
  auto Queue = Node.Admission.Queues.find(Attempt.Facts.Service);
  if (Queue == Node.Admission.Queues.end())
    return;
  Line.Fields.push_back({"waiting", std::to_string(Queue->second.Length)});
  Line.Fields.push_back(
      {"open_slots", std::to_string(Queue->second.OpenSlots)});
  auto Rank = Queue->second.ByRank.find(Attempt.RankOrder);
  if (Rank != Queue->second.ByRank.end())
    Line.Fields.push_back(
        {"rank_pressed",
         admission::isPressed(Rank->second, Node.Now) ? "true" : "false"});
}

void addServer(const State &Node, const base::BackendName &Name,
               LogLine &Line) {
  Line.Fields.push_back({"server", Name.Value});
  auto Found = Node.Routing.Servers.find(Name);
  if (Found == Node.Routing.Servers.end())
    return;
  const routing::BackendServer &Server = Found->second;
  Line.Fields.push_back({"running", std::to_string(Server.Running)});
  Line.Fields.push_back({"slots", std::to_string(Server.Record.Slots)});
  Line.Fields.push_back({"suspicion", text(Server.Record.Suspicion)});
}

} // namespace

void logAdmitted(const State &Node, const EntryRequest &Request,
                 EffectList &Effects) {
  if (!isInLogSample(Request.Facts.Request))
    return;
  LogLine Line = lineOf(Request, "request_admitted");
  Line.Fields.push_back({"deadline_ms", millis(Request.Deadline - Node.Now)});
  Line.Fields.push_back(
      {"config", std::to_string(Node.Config.Document.Version.Value)});
  Effects.push_back(std::move(Line));
}

void logPlaced(const State &Node, const EntryRequest &Request,
               const routing::Choice &Chosen, EffectList &Effects) {
  if (!isInLogSample(Request.Facts.Request) && Request.Attempts < 2)
    return;
  const routing::BackendServer &Server = *Chosen.Server;
  LogLine Line = lineOf(Request, "attempt_placed");
  Line.Fields.push_back({"attempt", base::formatId(Request.Current)});
  Line.Fields.push_back({"number", std::to_string(Request.Attempts)});
  addServer(Node, Server.Record.Name, Line);
  Line.Fields.push_back({"owner", Server.Record.Owner.Value});
  Line.Fields.push_back(
      {"choice", std::string(routing::choiceName(Chosen.Why))});
  Line.Fields.push_back(
      {"record_revision", std::to_string(Server.Record.Revision)});
  if (Server.BusyAt > base::TimePoint{}) {
    Line.Fields.push_back({"heard_busy", text(Server.HeardBusy)});
    Line.Fields.push_back({"heard_age_ms", millis(Node.Now - Server.BusyAt)});
  }
  Effects.push_back(std::move(Line));
}

void logRetry(const State &Node, const EntryRequest &Request,
              const AttemptOutcome &Outcome, const admission::RetryPlan &Plan,
              EffectList &Effects) {
  LogLine Line =
      lineOf(Request, Plan.Retry ? "request_retried" : "retry_denied");
  Line.Fields.push_back({"verdict", text(Outcome.What)});
  Line.Fields.push_back(
      {"reason", text(Plan.Retry ? Outcome.Why : Plan.DeniedReason)});
  Line.Fields.push_back({"after", text(Outcome.Why)});
  Line.Fields.push_back({"server", Outcome.Server.Value});
  Line.Fields.push_back({"attempts", std::to_string(Request.Attempts)});
  Line.Fields.push_back({"sends", std::to_string(Request.Sends)});
  if (Plan.Retry)
    Line.Fields.push_back({"wait_ms", millis(Plan.RetryAt - Node.Now)});
  Line.Fields.push_back({"left_ms", millis(Request.Deadline - Node.Now)});
  Effects.push_back(std::move(Line));
}

void logRequestEnd(const State &Node, const EntryRequest &Request,
                   base::Verdict What, base::Reason Why, EffectList &Effects) {
  bool Served = Why == base::Reason::None;
  base::Duration Took = Node.Now - Request.Arrived;
  bool Late = Request.Kind.Aim > base::Duration{} && Took > Request.Kind.Aim;
  if (Served && !Late && !isInLogSample(Request.Facts.Request))
    return;
  const char *Event = Why == base::Reason::CallerGone ? "request_abandoned"
                      : !Served                       ? "request_failed"
                      : Late                          ? "request_late"
                                                      : "request_served";
  LogLine Line = lineOf(Request, Event);
  Line.Fields.push_back({"verdict", text(What)});
  Line.Fields.push_back({"reason", text(Why)});
  Line.Fields.push_back({"took_ms", millis(Took)});
  Line.Fields.push_back(
      {"config", std::to_string(Node.Config.Document.Version.Value)});
  Line.Fields.push_back({"sends", std::to_string(Request.Sends)});
  for (const AttemptTrace &Trace : Request.Trace)
    Line.Fields.push_back({"attempt_" + base::formatId(Trace.Attempt),
                           describeAttempt(Trace, Request.Arrived)});
  Effects.push_back(std::move(Line));
}

void logQueued(const State &Node, const admission::QueuedAttempt &Attempt,
               EffectList &Effects) {
  if (!isInLogSample(Attempt.Facts.Request))
    return;
  LogLine Line = lineOf(Attempt, "attempt_queued");
  Line.Fields.push_back({"start_by_ms", millis(Attempt.StartBy - Node.Now)});
  addQueue(Node, Attempt, Line);
  Effects.push_back(std::move(Line));
}

void logStarted(const State &Node, const admission::QueuedAttempt &Attempt,
                EffectList &Effects) {
  base::Duration Waited = Node.Now - Attempt.ArrivedAt;
  bool Notable = Waited >= NotableWait;
  if (!Notable && !isInLogSample(Attempt.Facts.Request))
    return;
  LogLine Line =
      lineOf(Attempt, Notable ? "attempt_waited" : "attempt_started");
  Line.Fields.push_back({"waited_ms", millis(Waited)});
  Line.Fields.push_back({"left_ms", millis(Attempt.Deadline - Node.Now)});
  addServer(Node, Attempt.Server, Line);
  addQueue(Node, Attempt, Line);
  Effects.push_back(std::move(Line));
}

void logAttemptEnd(const State &Node, const admission::QueuedAttempt &Attempt,
                   const AttemptOutcome &Outcome, EffectList &Effects) {
  bool Served = Outcome.Why == base::Reason::None;
  if (Served && !isInLogSample(Attempt.Facts.Request))
    return;
  bool Sent = Attempt.StartedAt > base::TimePoint{};
  LogLine Line = lineOf(Attempt, Served ? "attempt_served"
                                 : Sent ? "attempt_failed"
                                        : "attempt_refused");
  Line.Fields.push_back({"verdict", text(Outcome.What)});
  Line.Fields.push_back({"reason", text(Outcome.Why)});
  Line.Fields.push_back({"held_ms", millis(Node.Now - Attempt.ArrivedAt)});
  if (Sent) {
    Line.Fields.push_back({"status", std::to_string(Outcome.Status)});
    Line.Fields.push_back(
        {"at_server_ms", millis(Node.Now - Attempt.StartedAt)});
    addServer(Node, Attempt.Server, Line);
  } else {
    addQueue(Node, Attempt, Line);
  }
  Effects.push_back(std::move(Line));
}

} // namespace currantgauge::core
