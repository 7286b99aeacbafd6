#include "currantgauge/core/request_log.h"

#include "currantgauge/admission/pressure.h"
#include "currantgauge/routing/slots.h"

#include <string>
#include <utility>

namespace currantgauge::core {
namespace {

// Queue time from which an attempt is logged as attempt_waited: a quarter of
// the shortest latency target (aim) in use.
constexpr base::Duration LoggedWaitThreshold = base::milliseconds(60);

std::string formatMillis(base::Duration Span) {
  return std::to_string(base::toMillis(Span));
}

std::string format(base::Verdict Verdict) {
  return std::string(base::verdictName(Verdict));
}

std::string format(base::Reason Reason) {
  return std::string(base::reasonName(Reason));
}

// Formats with two digits after the decimal point.
std::string format(double Value) {
  std::string Digits = std::to_string(Value);
  return Digits.substr(0, Digits.find('.') + 3);
}

LogLine makeLine(const EntryRequest &Request, const char *Event) {
  LogLine Line{LogLevel::Info, Event, {}, LogTopic::Request};
  Line.Fields = {{"request", base::formatId(Request.Facts.Request)},
                 {"caller_attempt", Request.Facts.CallerAttempt},
                 {"kind", Request.Kind.Name.Value},
                 {"service", Request.Kind.Service.Value}};
  return Line;
}

LogLine makeLine(const admission::QueuedAttempt &Attempt, const char *Event) {
  LogLine Line{LogLevel::Info, Event, {}, LogTopic::Request};
  Line.Fields = {{"request", base::formatId(Attempt.Facts.Request)},
                 {"attempt", base::formatId(Attempt.Facts.Attempt)},
                 {"entry", Attempt.Facts.Entry.Value},
                 {"kind", Attempt.Facts.Kind.Value},
                 {"service", Attempt.Facts.Service.Value}};
  return Line;
}

// Adds the state of the owner's queue, on which its decisions are based.
void addQueueFields(const State &Node, const admission::QueuedAttempt &Attempt,
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

void addServerFields(const State &Node, const base::BackendName &Name,
                     LogLine &Line) {
  Line.Fields.push_back({"server", Name.Value});
  auto It = Node.Routing.Servers.find(Name);
  if (It == Node.Routing.Servers.end())
    return;
  const routing::BackendServer &Server = It->second;
  Line.Fields.push_back({"running", std::to_string(Server.Running)});
  Line.Fields.push_back({"slots", std::to_string(Server.Record.Slots)});
  Line.Fields.push_back({"suspicion", format(Server.Record.Suspicion)});
}

} // namespace

void logAdmitted(const State &Node, const EntryRequest &Request,
                 EffectList &Effects) {
  if (!isInLogSample(Request.Facts.Request))
    return;
  LogLine Line = makeLine(Request, "request_admitted");
  Line.Fields.push_back(
      {"deadline_ms", formatMillis(Request.Deadline - Node.Now)});
  Line.Fields.push_back(
      {"config", std::to_string(Node.Config.Document.Version.Value)});
  Effects.push_back(std::move(Line));
}

void logPlaced(const State &Node, const EntryRequest &Request,
               const routing::Choice &Choice, EffectList &Effects) {
  if (!isInLogSample(Request.Facts.Request) && Request.Attempts < 2)
    return;
  const routing::BackendServer &Server = *Choice.Server;
  LogLine Line = makeLine(Request, "attempt_placed");
  Line.Fields.push_back({"attempt", base::formatId(Request.Current.Id)});
  Line.Fields.push_back({"number", std::to_string(Request.Attempts)});
  addServerFields(Node, Server.Record.Name, Line);
  Line.Fields.push_back({"owner", Server.Record.Owner.Value});
  Line.Fields.push_back(
      {"choice", std::string(routing::choiceReasonName(Choice.Reason))});
  Line.Fields.push_back(
      {"record_revision", std::to_string(Server.Record.Revision)});
  if (Server.LoadReportedAt > base::TimePoint{}) {
    Line.Fields.push_back({"heard_busy", format(Server.ReportedLoad)});
    Line.Fields.push_back(
        {"heard_age_ms", formatMillis(Node.Now - Server.LoadReportedAt)});
  }
  Effects.push_back(std::move(Line));
}

void logRetry(const State &Node, const EntryRequest &Request,
              const AttemptOutcome &Outcome, const admission::RetryPlan &Plan,
              EffectList &Effects) {
  LogLine Line =
      makeLine(Request, Plan.Retry ? "request_retried" : "retry_denied");
  Line.Fields.push_back({"verdict", format(Outcome.Verdict)});
  Line.Fields.push_back(
      {"reason", format(Plan.Retry ? Outcome.Reason : Plan.DeniedReason)});
  Line.Fields.push_back({"after", format(Outcome.Reason)});
  Line.Fields.push_back({"server", Outcome.Server.Value});
  Line.Fields.push_back({"attempts", std::to_string(Request.Attempts)});
  Line.Fields.push_back({"sends", std::to_string(Request.Sends)});
  if (Plan.Retry)
    Line.Fields.push_back({"wait_ms", formatMillis(Plan.RetryAt - Node.Now)});
  Line.Fields.push_back({"left_ms", formatMillis(Request.Deadline - Node.Now)});
  Effects.push_back(std::move(Line));
}

void logRequestEnd(const State &Node, const EntryRequest &Request,
                   base::Verdict Verdict, base::Reason Reason,
                   EffectList &Effects) {
  bool Served = Reason == base::Reason::None;
  base::Duration Elapsed = Node.Now - Request.ArrivedAt;
  bool Late = Request.Kind.Aim > base::Duration{} && Elapsed > Request.Kind.Aim;
  if (Served && !Late && !isInLogSample(Request.Facts.Request))
    return;
  const char *Event = Reason == base::Reason::CallerGone ? "request_abandoned"
                      : !Served                          ? "request_failed"
                      : Late                             ? "request_late"
                                                         : "request_served";
  LogLine Line = makeLine(Request, Event);
  Line.Fields.push_back({"verdict", format(Verdict)});
  Line.Fields.push_back({"reason", format(Reason)});
  Line.Fields.push_back({"took_ms", formatMillis(Elapsed)});
  Line.Fields.push_back(
      {"config", std::to_string(Node.Config.Document.Version.Value)});
  Line.Fields.push_back({"sends", std::to_string(Request.Sends)});
  for (const AttemptTrace &Trace : Request.Trace)
    Line.Fields.push_back({"attempt_" + base::formatId(Trace.Attempt),
                           describeAttempt(Trace, Request.ArrivedAt)});
  Effects.push_back(std::move(Line));
}

std::string_view connectionEndName(ConnectionEnd End) {
  switch (End) {
  case ConnectionEnd::CallerClosed:
    return "caller_closed";
  case ConnectionEnd::CallerReset:
    return "caller_reset";
  case ConnectionEnd::IdleTimeout:
    return "idle_timeout";
  case ConnectionEnd::WriteFailed:
    return "write_failed";
  case ConnectionEnd::WriteTimeout:
    return "write_timeout";
  case ConnectionEnd::AnswerCutShort:
    return "answer_cut_short";
  }
  return "unknown";
}

void logUnanswered(const State &Node, const CallerGone &Gone,
                   EffectList &Effects) {
  if (Gone.End == ConnectionEnd::CallerClosed)
    return;
  auto It = Node.Entry.Requests.find(Gone.Request);
  bool Decided = It == Node.Entry.Requests.end();
  LogLine Line{LogLevel::Warn, "request_unanswered", {}, LogTopic::Request};
  Line.Fields = {{"request", base::formatId(Gone.Request)},
                 {"cause", std::string(connectionEndName(Gone.End))},
                 {"decided", Decided ? "true" : "false"},
                 {"since_read_ms", formatMillis(Gone.SinceRead)},
                 {"stopping", Node.Stopping ? "true" : "false"}};
  if (!Decided) {
    Line.Fields.push_back({"caller_attempt", It->second.Facts.CallerAttempt});
    Line.Fields.push_back({"kind", It->second.Kind.Name.Value});
    Line.Fields.push_back({"sends", std::to_string(It->second.Sends)});
  }
  Effects.push_back(std::move(Line));
}

void logQueued(const State &Node, const admission::QueuedAttempt &Attempt,
               EffectList &Effects) {
  if (!isInLogSample(Attempt.Facts.Request))
    return;
  LogLine Line = makeLine(Attempt, "attempt_queued");
  Line.Fields.push_back(
      {"start_by_ms", formatMillis(Attempt.StartBy - Node.Now)});
  addQueueFields(Node, Attempt, Line);
  Effects.push_back(std::move(Line));
}

void logStarted(const State &Node, const admission::QueuedAttempt &Attempt,
                EffectList &Effects) {
  base::Duration Waited = Node.Now - Attempt.ArrivedAt;
  bool WaitedLong = Waited >= LoggedWaitThreshold;
  if (!WaitedLong && !isInLogSample(Attempt.Facts.Request))
    return;
  LogLine Line =
      makeLine(Attempt, WaitedLong ? "attempt_waited" : "attempt_started");
  Line.Fields.push_back({"waited_ms", formatMillis(Waited)});
  Line.Fields.push_back({"left_ms", formatMillis(Attempt.Deadline - Node.Now)});
  addServerFields(Node, Attempt.Server, Line);
  addQueueFields(Node, Attempt, Line);
  Effects.push_back(std::move(Line));
}

void logAttemptEnd(const State &Node, const admission::QueuedAttempt &Attempt,
                   const AttemptOutcome &Outcome, EffectList &Effects) {
  bool Served = Outcome.Reason == base::Reason::None;
  if (Served && !isInLogSample(Attempt.Facts.Request))
    return;
  bool Sent = Attempt.StartedAt > base::TimePoint{};
  LogLine Line = makeLine(Attempt, Served ? "attempt_served"
                                   : Sent ? "attempt_failed"
                                          : "attempt_refused");
  Line.Fields.push_back({"verdict", format(Outcome.Verdict)});
  Line.Fields.push_back({"reason", format(Outcome.Reason)});
  Line.Fields.push_back(
      {"held_ms", formatMillis(Node.Now - Attempt.ArrivedAt)});
  if (Sent) {
    Line.Fields.push_back({"status", std::to_string(Outcome.Status)});
    Line.Fields.push_back(
        {"at_server_ms", formatMillis(Node.Now - Attempt.StartedAt)});
    addServerFields(Node, Attempt.Server, Line);
  } else {
    addQueueFields(Node, Attempt, Line);
  }
  Effects.push_back(std::move(Line));
}

} // namespace currantgauge::core
