#include "currantgauge/identity/caller.h"

#include "currantgauge/identity/key_table.h"

namespace currantgauge::identity {

CallerIdentity identifyCaller(const config::Configuration &Config,
                              const config::RouteSettings &Route,
                              base::KeyHash Key) {
  CallerIdentity Caller;
  if (Route.Public)
    return Caller;
  const base::WorkspaceName *Holder = findByKey(Config.Keys, Key);
  if (Key.empty() || !Holder) {
    Caller.Reason = base::Reason::UnknownKey;
    return Caller;
  }
  Caller.Workspace = *Holder;
  if (const auto *Entry = Config.Workspaces.find(*Holder))
    Caller.Rank = Entry->second.Rank;
  return Caller;
}

base::Reason applyCallerKey(const config::Configuration &Config,
                            const config::RouteSettings &Route,
                            core::RequestFacts &Facts,
                            config::KindSettings &Kind) {
  if (!Config.RequiresKeys)
    return base::Reason::None;
  CallerIdentity Caller = identifyCaller(Config, Route, Facts.Key);
  Facts.Workspace = Caller.Workspace;
  if (!Caller.Rank.empty())
    Kind.Rank = Caller.Rank;
  return Caller.Reason;
}

} // namespace currantgauge::identity
