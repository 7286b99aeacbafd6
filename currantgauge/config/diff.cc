#include "currantgauge/config/diff.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string_view>

namespace currantgauge::config {
namespace {

using EntryTexts = std::map<std::string, std::string_view>;

// Returns the text of each entry by its name, such as "services.cutlist". In
// canonical form, sections are not indented and each entry has a line of its
// own, so no YAML parser is needed.
EntryTexts parseEntries(std::string_view Text) {
  EntryTexts Entries;
  std::string Section;
  while (!Text.empty()) {
    std::string_view Line = Text.substr(0, Text.find('\n'));
    Text.remove_prefix(std::min(Line.size() + 1, Text.size()));
    std::size_t Colon = Line.find(": ");
    if (!Line.starts_with("  "))
      Section = std::string(Line.substr(0, Line.find(':')));
    else if (Colon != std::string_view::npos)
      Entries[Section + "." + std::string(Line.substr(2, Colon - 2))] =
          Line.substr(Colon + 2);
  }
  return Entries;
}

} // namespace

std::vector<DocumentChange> diffDocuments(const std::string &Old,
                                          const std::string &New) {
  std::vector<DocumentChange> Changes;
  EntryTexts OldEntries = parseEntries(Old);
  EntryTexts NewEntries = parseEntries(New);
  for (const auto &[Name, Value] : NewEntries) {
    auto It = OldEntries.find(Name);
    if (It == OldEntries.end())
      Changes.push_back({Name, "", std::string(Value)});
    else if (It->second != Value)
      Changes.push_back({Name, std::string(It->second), std::string(Value)});
  }
  for (const auto &[Name, Value] : OldEntries)
    if (!NewEntries.contains(Name))
      Changes.push_back({Name, std::string(Value), ""});
  return Changes;
}

} // namespace currantgauge::config
