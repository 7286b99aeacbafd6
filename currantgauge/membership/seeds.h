// The way to the first members: seeds of the settings, then rows of the
// platform's table. The fleet runs on without either.
//
//   discoverMembers(Node, Effects); // once a round
#ifndef CURRANTGAUGE_MEMBERSHIP_SEEDS_H
#define CURRANTGAUGE_MEMBERSHIP_SEEDS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::membership {

// NodesTable names the table: key node name, value peer address.
constexpr char NodesTable[] = "nodes";

// discoverMembers() writes this node's row when due, and asks seeds and the
// table for members, often while few are known.
void discoverMembers(core::State &Node, core::EffectList &Effects);

// removeNodeRow() removes a node's row.
void removeNodeRow(core::State &Node, const base::NodeName &Name,
                   core::EffectList &Effects);

// onStoreAnswered() takes the answer of a call of ours. Returns false when it
// is another component's.
bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answered,
                     core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_SEEDS_H
