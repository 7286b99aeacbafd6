// The keys of workspaces in configuration documents. A file may hold plain
// keys; the merged document, its parts and everything made from them hold only
// hashes.
//
//   hashKeys(Map);             // while files are merged
//   readKeys(Map, Workspace);  // from the merged document
#ifndef CURRANTGAUGE_CONFIG_WORKSPACE_KEYS_H
#define CURRANTGAUGE_CONFIG_WORKSPACE_KEYS_H

#include "currantgauge/config/field_map.h"
#include "currantgauge/config/workspace_table.h"

#include <string_view>

namespace currantgauge::config {

// hashKeys() replaces the list of keys in a workspace's map by a single value,
// the text forms of the keys' hashes. Adds errors for keys that are empty or
// malformed, and then removes the list.
void hashKeys(FieldMap &Map);

// readKeys() reads the hashes that hashKeys() wrote.
void readKeys(FieldMap &Map, WorkspaceSettings &Workspace);

// hasHashedKeys() returns true if the entry of a workspace, such as
// "{limit: 20/s, rank: normal}", has no keys, or is in canonical form and has
// their hashes.
bool hasHashedKeys(std::string_view Entry);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_WORKSPACE_KEYS_H
