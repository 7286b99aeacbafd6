#include "currantgauge/core/owner_evidence.h"

#include "currantgauge/membership/rumours.h"
#include "currantgauge/routing/breaker.h"
#include "currantgauge/routing/registry.h"

#include <string>

namespace currantgauge::core {
namespace {

// Nobody listens at the address, or somebody else does: the server is gone
// until it announces itself again.
void noteAbsence(State &Node, const base::BackendName &Name, base::Reason Why,
                 EffectList &Effects) {
  if (Why != base::Reason::BackendRefusedConnection &&
      Why != base::Reason::BackendMisdirected)
    return;
  if (!routing::markAbsent(Node.Routing, Name))
    return;
  const routing::BackendRecord &Record = Node.Routing.Servers.at(Name).Record;
  membership::queueRumour(Node.Membership, Record);
  Effects.push_back(LogLine{LogLevel::Warn,
                            "backend_server_absent",
                            {{"server", Name.Value},
                             {"service", Record.Service.Value},
                             {"reason", std::string(base::reasonName(Why))}}});
}

// BreakerWord is what the end of an exchange says to the server's breaker.
enum class BreakerWord { Well, Failed, Nothing };

// Silence is left to the evidence of times, which needs exchanges to go on.
BreakerWord breakerWord(const AttemptOutcome &Outcome) {
  if (Outcome.RequestAtFault)
    return BreakerWord::Nothing;
  switch (Outcome.Why) {
  case base::Reason::None:
    return BreakerWord::Well;
  case base::Reason::BackendError:
  case base::Reason::BackendReset:
  case base::Reason::AnswerCutShort:
    return BreakerWord::Failed;
  default:
    return BreakerWord::Nothing;
  }
}

void noteBreaker(State &Node, const base::BackendName &Name,
                 const AttemptOutcome &Outcome, EffectList &Effects) {
  routing::Breaker &Breaker = Node.Routing.Breakers[Name];
  BreakerWord Word = breakerWord(Outcome);
  if (Word == BreakerWord::Nothing)
    return routing::noteInconclusiveEnd(Breaker);
  if (!routing::noteEnd(Breaker, Word == BreakerWord::Failed, Node.Now))
    return;
  bool Opened = Breaker.Phase != routing::BreakerPhase::Closed;
  Effects.push_back(LogLine{
      Opened ? LogLevel::Warn : LogLevel::Info,
      Opened ? "breaker_opened" : "breaker_closed",
      {{"server", Name.Value},
       {"reason", std::string(base::reasonName(Outcome.Why))},
       {"status", std::to_string(Outcome.Status)},
       {"pause_ms", std::to_string(base::toMillis(Breaker.OpenDuration))}}});
}

} // namespace

void noteServerWord(State &Node, const base::BackendName &Name,
                    const AttemptOutcome &Outcome, EffectList &Effects) {
  noteAbsence(Node, Name, Outcome.Why, Effects);
  noteBreaker(Node, Name, Outcome, Effects);
}

} // namespace currantgauge::core
