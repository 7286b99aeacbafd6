// The attempts of a request at its entry: which server, where, and the end.
//
//   base::Reason Why = placeAttempt(Node, Request, Chosen, Effects);
//   if (Why == base::Reason::None)
//     startAttempt(Node, Request, Chosen, Effects);
#ifndef CURRANTGAUGE_CORE_ENTRY_ATTEMPTS_H
#define CURRANTGAUGE_CORE_ENTRY_ATTEMPTS_H

#include "currantgauge/admission/entry.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"
#include "currantgauge/routing/choose.h"

namespace currantgauge::core {

// planOf() describes an attempt of a request at a server to admission.
admission::AttemptPlan planOf(const State &Node, const EntryRequest &Request,
                              const routing::BackendServer &Server);

// placeAttempt() chooses a server whose owner takes this rank, and returns why
// there is none. Owners that refuse it now are passed over a few times.
base::Reason placeAttempt(State &Node, const EntryRequest &Request,
                          routing::Choice &Chosen, EffectList &Effects);

// hasRoomElsewhere() says whether the server that would be chosen next seems to
// have a free slot.
bool hasRoomElsewhere(State &Node, const EntryRequest &Request,
                      EffectList &Effects);

// startAttempt() sends an attempt to the owner of the server chosen.
void startAttempt(State &Node, EntryRequest &Request,
                  const routing::Choice &Chosen, EffectList &Effects);

// startReferral() asks a node that knows more of the request's action. Returns
// false when that node is unknown or too many were asked.
bool startReferral(State &Node, EntryRequest &Request,
                   const base::NodeName &Where, EffectList &Effects);

// endCurrentAttempt() takes the running attempt out of the entry's tables.
void endCurrentAttempt(State &Node, EntryRequest &Request);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_ENTRY_ATTEMPTS_H
