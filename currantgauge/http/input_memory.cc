#include "currantgauge/http/input_memory.h"

#include "currantgauge/runtime/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <vector>

namespace currantgauge::http {
namespace {

void giveWay(InputClaims &Claims, std::size_t Index) {
  auto Victim =
      std::next(Claims.List.begin(), static_cast<std::ptrdiff_t>(Index));
  Victim->Input.GivesWay = true;
  Victim->GiveWay();
}

} // namespace

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

void noteHeld(InputClaims &Claims, InputClaim &Claim, base::ByteCount Held) {
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  Claim.Input.Held = Held;
}

void noteProgress(InputClaims &Claims, InputClaim &Claim) {
  base::TimePoint Now = runtime::steadyNow();
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  Claim.Input.ProgressAt = Now;
}

void beginMemoryWait(InputClaims &Claims, InputClaim &Claim) {
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  Claim.Input.AwaitsMemory = true;
}

void endMemoryWait(InputClaims &Claims, InputClaim &Claim,
                   base::Duration Waited) {
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  Claim.Input.AwaitsMemory = false;
  Claim.Input.ProgressAt = Claim.Input.ProgressAt + Waited;
}

void setCanYield(InputClaims &Claims, InputClaim &Claim, bool CanYield) {
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  Claim.Input.CanYield = CanYield;
}

bool givesWay(InputClaims &Claims, const InputClaim &Claim) {
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  return Claim.Input.GivesWay;
}

bool mayWaitForMemory(InputClaims &Claims, const runtime::MemoryBudget &Budget,
                      base::ByteCount Needed, base::Duration Waited,
                      base::TimePoint Now) {
  if (admission::hasWaitedTooLong(Waited))
    return false;
  std::lock_guard<std::mutex> Guard(Claims.Mutex);
  ClaimScan &Last = Claims.LastScan;
  if (Last.Count > 0 && Now - Last.Time < ScanInterval)
    return !Last.Refused || Needed < Last.Needed;
  std::uint64_t Used = Budget.Used;
  std::uint64_t Partial = 0;
  std::vector<admission::PartialInput> Inputs;
  for (const InputClaim &Claim : Claims.List) {
    Inputs.push_back(Claim.Input);
    Partial += Claim.Input.Held.Bytes;
  }
  admission::MemoryShortage Shortage{
      Needed, base::ByteCount{Used - std::min(Used, Partial)}, Waited};
  admission::ShortageDecision Decision =
      admission::decideShortage(Inputs, Shortage, Now);
  if (Decision.Step == admission::ShortageStep::GiveWay)
    giveWay(Claims, Decision.Victim);
  bool Refused = Decision.Step == admission::ShortageStep::Refuse;
  Last = ClaimScan{Now, Last.Count + 1, Refused, Needed};
  return !Refused;
}

} // namespace currantgauge::http
