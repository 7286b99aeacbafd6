#include "currantgauge/http/input_memory.h"

#include "currantgauge/runtime/clock.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <vector>

namespace currantgauge::http {

ClaimScope::ClaimScope(InputClaims &All, InputClaim &Added)
    : Claims(All), Claim(Added) {
  Added.Input.ProgressAt = runtime::steadyNow();
  std::lock_guard<std::mutex> Guard(All.Mutex);
  All.List.push_back(Added);
}

ClaimScope::~ClaimScope() {
  std::lock_guard<std::mutex> Guard(this->Claims.Mutex);
  this->Claims.List.erase(this->Claims.List.iterator_to(this->Claim));
}

void noteProgress(InputClaims &Claims, InputClaim &Claim,
                  base::ByteCount Held) {
  base::TimePoint Now = runtime::steadyNow();
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  Claim.Input.Held = Held;
  Claim.Input.ProgressAt = Now;
}

void setAwaitsMemory(InputClaims &Claims, InputClaim &Claim, bool Awaits) {
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  Claim.Input.AwaitsMemory = Awaits;
}

bool givesWay(InputClaims &Claims, const InputClaim &Claim) {
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  return Claim.Input.GivesWay;
}

bool mayWaitForMemory(InputClaims &Claims, const runtime::MemoryBudget &Budget,
                      base::ByteCount Needed, base::Duration Waited) {
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  std::vector<admission::PartialInput> Inputs;
  std::uint64_t Used = Budget.Used;
  std::uint64_t Partial = 0;
  for (const InputClaim &Claim : Claims.List) {
    Inputs.push_back(Claim.Input);
    Partial += Claim.Input.Held.Bytes;
  }
  admission::MemoryShortage Shortage{
      Needed, base::ByteCount{Used - std::min(Used, Partial)}, Waited};
  admission::ShortageDecision Decision =
      admission::decideShortage(Inputs, Shortage, runtime::steadyNow());
  if (Decision.Step == admission::ShortageStep::GiveWay) {
    auto Victim = std::next(Claims.List.begin(),
                            static_cast<std::ptrdiff_t>(Decision.Victim));
    Victim->Input.GivesWay = true;
    Victim->GiveWay();
  }
  return Decision.Step != admission::ShortageStep::Refuse;
}

} // namespace currantgauge::http
