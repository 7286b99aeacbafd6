// Groups of a document's parts, so that two sides find what differs without
// exchanging every hash.
//
//   Manifest Groups = groupHashes(*Parts);
//   Manifest Some = partsInGroups(*Parts, {"group/7"});
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

// groupOf() returns the group of a part.
std::string groupOf(std::string_view PartName);

// groupHashes() returns a hash of each group that has a part.
Manifest groupHashes(const PartSet &Whole);

// partsInGroups() returns the hashes of the parts in some groups.
Manifest partsInGroups(const PartSet &Whole,
                       const std::set<std::string> &Groups);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PART_GROUPS_H
