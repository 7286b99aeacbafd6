#include "currantgauge/config/stored_manifest.h"

#include <cstddef>
#include <sstream>

namespace currantgauge::config {

std::string formatStoredManifest(const StoredManifest &Stored) {
  std::string Text;
  for (const auto &[Name, Part] : Stored)
    Text += Name + " " + Part.Hash.Value + " " + Part.Origin + "\n";
  return Text;
}

std::optional<StoredManifest> parseStoredManifest(const std::string &Text) {
  StoredManifest Stored;
  std::istringstream Lines(Text);
  std::string Line;
  while (std::getline(Lines, Line)) {
    std::size_t FirstSpace = Line.find(' ');
    std::size_t SecondSpace = Line.find(' ', FirstSpace + 1);
    if (FirstSpace == 0 || FirstSpace == std::string::npos ||
        SecondSpace == std::string::npos || SecondSpace + 1 == Line.size())
      return std::nullopt;
    base::ContentHash Hash(
        Line.substr(FirstSpace + 1, SecondSpace - FirstSpace - 1));
    Stored.emplace(Line.substr(0, FirstSpace),
                   StoredPart{Hash, Line.substr(SecondSpace + 1)});
  }
  return Stored;
}

std::optional<StoredManifest> readStoredManifest(const HeadRow &Row,
                                                 const std::string &Bytes) {
  if (hashContent(Bytes) != Row.StoredManifestHash)
    return std::nullopt;
  return parseStoredManifest(Bytes);
}

StoredManifest makeStoredManifest(const StoredManifest &Base,
                                  const PartSet &Parts,
                                  const std::string &Origin) {
  StoredManifest Stored;
  for (const auto &[Name, Part] : Parts.Parts) {
    auto It = Base.find(Name);
    bool IsReused = It != Base.end() && It->second.Hash == Part->Hash;
    Stored.emplace(
        Name, StoredPart{Part->Hash, IsReused ? It->second.Origin : Origin});
  }
  return Stored;
}

std::set<std::string> listObjectNames(const HeadRow &Row,
                                      const StoredManifest &Stored) {
  std::set<std::string> Names = {getManifestObjectName(Row)};
  for (const auto &[Name, Part] : Stored)
    Names.insert(getPartObjectName(Part.Origin, Part.Hash));
  return Names;
}

} // namespace currantgauge::config
