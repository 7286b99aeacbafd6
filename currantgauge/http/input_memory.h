// The requests that a node's callers have sent only in part, and the memory
// that they hold. When memory is short, one of them may have to give way.
//
//   InputClaim Claim;
//   Claim.GiveWay = [] { cancelRead(); };
//   ClaimScope Scope(Claims, Claim);
//   noteHeld(Claims, Claim, Hold.Size);
#ifndef CURRANTGAUGE_HTTP_INPUT_MEMORY_H
#define CURRANTGAUGE_HTTP_INPUT_MEMORY_H

#include "currantgauge/admission/give_way.h"
#include "currantgauge/base/units.h"
#include "currantgauge/runtime/clock.h"
#include "currantgauge/runtime/memory_budget.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <functional>
#include <mutex>

namespace currantgauge::http {

constexpr base::Duration ScanInterval = base::milliseconds(5);

// InputClaim is a request that is being received. GiveWay runs on any thread
// and must only hand work over to the connection's own.
struct InputClaim : boost::intrusive::list_base_hook<> {
  admission::PartialInput Input;
  std::function<void()> GiveWay;
};

// ClaimScan is the last search for a claim to give way.
struct ClaimScan {
  base::TimePoint Time;
  std::uint64_t Count = 0; // of all searches
  bool Refused = false;    // nothing could be released
  base::ByteCount Needed;  // of the request that it was made for
};

// InputClaims is the list of all claims of a node. It is thread-safe.
struct InputClaims {
  std::mutex Mutex;
  boost::intrusive::list<InputClaim> List;
  ClaimScan LastScan;
};

// ClaimScope keeps a claim in the list during its lifetime.
struct ClaimScope {
  InputClaims &Claims;
  InputClaim &Claim;

  ClaimScope(InputClaims &All, InputClaim &Added);
  ~ClaimScope();
  ClaimScope(const ClaimScope &) = delete;
  ClaimScope &operator=(const ClaimScope &) = delete;
};

// noteHeld() records the memory that the request holds.
void noteHeld(InputClaims &Claims, InputClaim &Claim, base::ByteCount Held);

// noteProgress() records that a part of the request was received.
void noteProgress(InputClaims &Claims, InputClaim &Claim);

// beginMemoryWait() records that the node has stopped reading the request for
// lack of memory, endMemoryWait() that it goes on after Waited. That time is
// not a standstill of the sender.
void beginMemoryWait(InputClaims &Claims, InputClaim &Claim);
void endMemoryWait(InputClaims &Claims, InputClaim &Claim,
                   base::Duration Waited);

// setCanYield() records whether the request can be refused now: answers to
// earlier requests of its connection go first.
void setCanYield(InputClaims &Claims, InputClaim &Claim, bool CanYield);

// givesWay() returns whether the request has to be refused to release memory.
bool givesWay(InputClaims &Claims, const InputClaim &Claim);

// mayWaitForMemory() makes another claim give way if necessary. Returns false
// if a request that Needed bytes are short for has to be refused now. Claims
// are searched at most once per ScanInterval, whoever asks.
bool mayWaitForMemory(InputClaims &Claims, const runtime::MemoryBudget &Budget,
                      base::ByteCount Needed, base::Duration Waited,
                      base::TimePoint Now = runtime::steadyNow());

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_INPUT_MEMORY_H
