// Groups of a document's parts, so that two sides find what differs without
// exchanging every hash.
//
//   Manifest Groups = hashGroups(*Parts);
//   Manifest Some = listPartsInGroups(*Parts, {"group/7"});
#ifndef CURRANTGAUGE_CONFIG_PART_GROUPS_H
#define CURRANTGAUGE_CONFIG_PART_GROUPS_H

#include "currantgauge/config/parts.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace currantgauge::config {

// PartGroups is the number of groups, near the root of the number of parts.
constexpr std::uint32_t PartGroups = 48;

// getGroupName() returns the group of a part.
std::string getGroupName(std::string_view PartName);

// hashGroups() returns a hash of each group that has a part.
Manifest hashGroups(const PartSet &Document);

// listPartsInGroups() returns the hashes of the parts in some groups.
Manifest listPartsInGroups(const PartSet &Document,
                           const std::set<std::string> &Groups);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PART_GROUPS_H
