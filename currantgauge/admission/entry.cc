#include "currantgauge/admission/entry.h"

#include <algorithm>

namespace currantgauge::admission {
namespace {

constexpr double RetryBudgetLimit = 50; // tokens
constexpr base::Duration FirstBackoff = base::milliseconds(5);
constexpr base::Duration LongestBackoff = base::milliseconds(200);

} // namespace

base::Reason admitAtEntry(AdmissionState &State,
                          const config::Configuration &Config,
                          const config::KindSettings &Kind,
                          const base::WorkspaceName &Workspace,
                          base::TimePoint Now) {
  if (!Config.AnyWorkspace && !Config.Workspaces.contains(Workspace))
    return base::Reason::UnknownWorkspace;
  return base::Reason::None;
}

void noteSuccess(AdmissionState &State, const config::Configuration &Config,
                 const base::ServiceName &Service) {
  auto Settings = Config.Services.find(Service);
  double Share = Settings == Config.Services.end()
                     ? config::ServiceSettings().RetryBudget.Value
                     : Settings->second.RetryBudget.Value;
  RetryBudget &Budget = State.Budgets[Service];
  Budget.Tokens = std::min(Budget.Tokens + Share / 100, RetryBudgetLimit);
}

bool takeRetry(AdmissionState &State, const base::ServiceName &Service) {
  RetryBudget &Budget = State.Budgets[Service];
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

base::Duration retryDelay(std::uint32_t Number, base::Random &Source) {
  base::Duration Full = FirstBackoff;
  for (std::uint32_t I = 2; I < Number && Full < LongestBackoff; ++I)
    Full = Full * 2;
  return base::scaled(std::min(Full, LongestBackoff),
                      base::uniformUnit(Source));
}

} // namespace currantgauge::admission
