// Discovery of members: by the seed addresses of the settings and by the rows
// of the platform's nodes table. A running fleet needs neither.
//
//   discoverMembers(Node, Effects); // once per round
#ifndef CURRANTGAUGE_MEMBERSHIP_SEEDS_H
#define CURRANTGAUGE_MEMBERSHIP_SEEDS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::membership {

// NodesTable is the name of the platform's nodes table. A row's key is a node
// name, its value the node's peer address.
constexpr char NodesTable[] = "nodes";

// discoverMembers() writes this node's row when due, and looks for members by
// seeds and by the table, more often while few are known. Nodes that are
// embedded or stopping don't use the table.
void discoverMembers(core::State &Node, core::EffectList &Effects);

// onStoreRestored() schedules a check of this node's row, which a restore of
// the store may have removed.
void onStoreRestored(core::State &Node);

// removeNodeRow() removes a node's row from the table, unless this node is
// embedded.
void removeNodeRow(core::State &Node, const base::NodeName &Name,
                   core::EffectList &Effects);

// onStoreAnswered() handles the result of a store call. Returns false if
// another component made the call.
bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answered,
                     core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_SEEDS_H
