#include "currantgauge/config/part_groups.h"

// Compiles xxHash's functions into this file, so that its library isn't linked.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace currantgauge::config {

std::string getGroupName(std::string_view PartName) {
  return "group/" + std::to_string(XXH64(PartName.data(), PartName.size(), 0) %
                                   PartGroups);
}

Manifest hashGroups(const PartSet &Document) {
  std::map<std::string, std::string> Texts;
  for (const auto &[Name, Part] : Document.Parts)
    Texts[getGroupName(Name)] += Name + " " + Part->Hash.Value + "\n";
  Manifest Hashes;
  for (const auto &[Group, Text] : Texts)
    Hashes.emplace(Group, hashContent(Text));
  return Hashes;
}

Manifest listPartsInGroups(const PartSet &Document,
                           const std::set<std::string> &Groups) {
  Manifest Hashes;
  for (const auto &[Name, Part] : Document.Parts)
    if (Groups.contains(getGroupName(Name)))
      Hashes.emplace(Name, Part->Hash);
  return Hashes;
}

} // namespace currantgauge::config
