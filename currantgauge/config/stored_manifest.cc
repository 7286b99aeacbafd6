#include "currantgauge/config/stored_manifest.h"

#include <cstddef>
#include <sstream>

namespace currantgauge::config {

std::string formatStored(const StoredManifest &Stored) {
  std::string Text;
  for (const auto &[Name, Part] : Stored)
    Text += Name + " " + Part.Hash.Value + " " + Part.Origin + "\n";
  return Text;
}

std::optional<StoredManifest> parseStored(const std::string &Text) {
  StoredManifest Stored;
  std::istringstream Lines(Text);
  std::string Line;
  while (std::getline(Lines, Line)) {
    std::size_t First = Line.find(' ');
    std::size_t Second = Line.find(' ', First + 1);
    if (First == 0 || First == std::string::npos ||
        Second == std::string::npos || Second + 1 == Line.size())
      return std::nullopt;
    base::ContentHash Hash(Line.substr(First + 1, Second - First - 1));
    Stored.emplace(Line.substr(0, First),
                   StoredPart{Hash, Line.substr(Second + 1)});
  }
  return Stored;
}

std::optional<StoredManifest> readStored(const HeadRow &Row,
                                         const std::string &Bytes) {
  if (hashContent(Bytes) != Row.Stored)
    return std::nullopt;
  return parseStored(Bytes);
}

StoredManifest storeAfter(const StoredManifest &Base, const PartSet &Parts,
                          const std::string &Origin) {
  StoredManifest Stored;
  for (const auto &[Name, Part] : Parts.Parts) {
    auto Held = Base.find(Name);
    bool IsThere = Held != Base.end() && Held->second.Hash == Part->Hash;
    Stored.emplace(
        Name, StoredPart{Part->Hash, IsThere ? Held->second.Origin : Origin});
  }
  return Stored;
}

std::set<std::string> objectsOf(const HeadRow &Row,
                                const StoredManifest &Stored) {
  std::set<std::string> Names = {manifestObject(Row)};
  for (const auto &[Name, Part] : Stored)
    Names.insert(partObject(Part.Origin, Part.Hash));
  return Names;
}

} // namespace currantgauge::config
