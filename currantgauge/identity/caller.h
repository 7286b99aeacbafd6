// Identifies callers by their keys, where the configuration requires keys.
//
//   base::Reason Reason = applyCallerKey(Config, Route, Facts, Kind);
//   if (Reason != base::Reason::None) refuse(Reason);
#ifndef CURRANTGAUGE_IDENTITY_CALLER_H
#define CURRANTGAUGE_IDENTITY_CALLER_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/request.h"

namespace currantgauge::identity {

// CallerIdentity is the workspace for which a request runs.
struct CallerIdentity {
  base::WorkspaceName Workspace;            // empty on public routes
  base::RankName Rank;                      // empty: that of the request's kind
  base::Reason Reason = base::Reason::None; // why the request is refused
};

// identifyCaller() returns the workspace that holds the caller's key. Reason:
// UnknownKey.
CallerIdentity identifyCaller(const config::Configuration &Config,
                              const config::RouteSettings &Route,
                              base::KeyHash Key);

// applyCallerKey() replaces the workspace and the rank of a request by those of
// its caller and returns the reason to refuse it, or None. Changes nothing
// unless the configuration requires keys.
base::Reason applyCallerKey(const config::Configuration &Config,
                            const config::RouteSettings &Route,
                            core::RequestFacts &Facts,
                            config::KindSettings &Kind);

} // namespace currantgauge::identity

#endif // CURRANTGAUGE_IDENTITY_CALLER_H
