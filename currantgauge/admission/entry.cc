#include "currantgauge/admission/entry.h"

#include "currantgauge/admission/limits.h"
#include "currantgauge/admission/link.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/retry.h"

namespace currantgauge::admission {
namespace {

constexpr std::uint32_t UnknownRankOrder = UINT32_MAX - 1;

bool crossesLink(const AttemptPlan &Plan) {
  return Plan.Server.Record.Region != Plan.EntryRegion;
}

void measureLink(const AttemptPlan &Plan, const char *Direction,
                 base::ByteCount Bytes, core::EffectList &Effects) {
  Effects.push_back(core::Measure{core::Metric::LinkBytes,
                                  Plan.Server.Record.Region.Value, Direction,
                                  static_cast<double>(Bytes.Bytes)});
}

} // namespace

base::Reason admitAtEntry(AdmissionState &State,
                          const config::Configuration &Config,
                          const config::KindSettings &Kind,
                          const base::WorkspaceName &Workspace,
                          base::TimePoint Now) {
  if (!Config.AcceptUnlistedWorkspaces &&
      !Config.Workspaces.contains(Workspace))
    return base::Reason::UnknownWorkspace;
  return takeRequestTokens(State.Limits, Config, Kind, Workspace, Now);
}

std::uint32_t rankOrder(const config::Configuration &Config,
                        const base::RankName &Rank) {
  auto It = Config.Ranks.find(Rank);
  return It == Config.Ranks.end() ? UnknownRankOrder : It->second.Order;
}

// While owners in general shed a rank, none is skipped: the few that have not
// reported pressure would receive the work of all the others.
bool shouldSkipOwner(const AdmissionState &State, const AttemptPlan &Plan) {
  return !isRankShed(State, Plan.Kind) &&
         pressureCost(State, Plan.Kind.Service, Plan.Server.Record.Owner,
                      rankOrder(Plan.Config, Plan.Kind.Rank), Plan.Now) > 0;
}

base::Reason admitAttempt(AdmissionState &State, const AttemptPlan &Plan,
                          core::EffectList &Effects) {
  std::uint32_t Order = rankOrder(Plan.Config, Plan.Kind.Rank);
  if (shouldShed(State, Plan.Kind.Service, Plan.Server.Record.Owner, Order,
                 Plan.Now, Plan.Draw))
    return base::Reason::ShedByPressure;
  if (!crossesLink(Plan))
    return base::Reason::None;
  if (!takeLinkBudget(State.Link, Plan.Config.Link, Order, Plan.BodyBytes,
                      Plan.Now))
    return base::Reason::LinkBudget;
  measureLink(Plan, "sent", Plan.BodyBytes + AttemptOverhead, Effects);
  return base::Reason::None;
}

void noteAttemptEnd(AdmissionState &State, const AttemptPlan &Plan,
                    const core::AttemptOutcome &Outcome,
                    core::EffectList &Effects) {
  noteOutcome(State, Plan.Config, Plan.Kind, Outcome, Plan.Now);
  if (!crossesLink(Plan) || Outcome.AnswerBytes.Bytes == 0)
    return;
  chargeLinkBudget(State.Link, Plan.Config.Link, Outcome.AnswerBytes, Plan.Now);
  measureLink(Plan, "received", Outcome.AnswerBytes, Effects);
}

} // namespace currantgauge::admission
