// Hashes of groups of a document's parts, with which two sides find the parts
// that differ without exchanging the hash of each part.
//
//   Manifest Groups = hashGroups(*Parts);
//   Manifest Hashes = listPartsInGroups(*Parts, {"group/7"});
#ifndef CURRANTGAUGE_CONFIG_PART_GROUPS_H
#define CURRANTGAUGE_CONFIG_PART_GROUPS_H

#include "currantgauge/config/parts.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace currantgauge::config {

// PartGroups is the number of groups, near the square root of the number of
// parts.
constexpr std::uint32_t PartGroups = 48;

// getGroupName() returns the name of a part's group, such as "group/7".
std::string getGroupName(std::string_view PartName);

// hashGroups() returns the hash of each group that has parts.
Manifest hashGroups(const PartSet &Document);

// listPartsInGroups() returns the hashes of the parts in the given groups.
Manifest listPartsInGroups(const PartSet &Document,
                           const std::set<std::string> &Groups);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PART_GROUPS_H
