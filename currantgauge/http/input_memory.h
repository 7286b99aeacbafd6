// The requests that a node's callers have sent only in part, and the memory
// that they hold. When memory is short, one of them may have to give way.
//
//   InputClaim Claim;
//   Claim.GiveWay = [] { cancelRead(); };
//   ClaimScope Scope(Claims, Claim);
//   noteProgress(Claims, Claim, Hold.Size);
#ifndef CURRANTGAUGE_HTTP_INPUT_MEMORY_H
#define CURRANTGAUGE_HTTP_INPUT_MEMORY_H

#include "currantgauge/admission/give_way.h"
#include "currantgauge/base/units.h"
#include "currantgauge/runtime/memory_budget.h"

#include <boost/intrusive/list.hpp>

#include <functional>
#include <mutex>

namespace currantgauge::http {

// InputClaim is a request that is being received. GiveWay runs on any thread
// and must only hand work over to the connection's own.
struct InputClaim : boost::intrusive::list_base_hook<> {
  admission::PartialInput Input;
  std::function<void()> GiveWay;
};

// InputClaims is the list of all claims of a node. It is thread-safe.
struct InputClaims {
  std::mutex Mutex;
  boost::intrusive::list<InputClaim> List;
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

// noteProgress() records that a part of the request was received.
void noteProgress(InputClaims &Claims, InputClaim &Claim, base::ByteCount Held);

// setAwaitsMemory() records whether the node has stopped reading the request
// for lack of memory.
void setAwaitsMemory(InputClaims &Claims, InputClaim &Claim, bool Awaits);

// givesWay() returns whether the request has to be refused to release memory.
bool givesWay(InputClaims &Claims, const InputClaim &Claim);

// mayWaitForMemory() makes another claim give way if necessary. Returns false
// if a request that Needed bytes are short for has to be refused now.
bool mayWaitForMemory(InputClaims &Claims, const runtime::MemoryBudget &Budget,
                      base::ByteCount Needed, base::Duration Waited);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_INPUT_MEMORY_H
