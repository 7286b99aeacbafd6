#include "currantgauge/config/parts.h"

#include "currantgauge/config/merge.h"
#include "currantgauge/config/workspace_keys.h"

#include <openssl/evp.h>
// Compiles xxHash's functions into this file, so that its library isn't linked.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace currantgauge::config {
namespace {

constexpr std::size_t HashBytes = 16; // kept of a SHA-256 hash
constexpr std::string_view Digits = "0123456789abcdef";

std::string formatHex(std::uint32_t Number) {
  std::string Text;
  for (; Number != 0 || Text.empty(); Number /= 16)
    Text.insert(Text.begin(), Digits[Number % 16]);
  return Text;
}

std::uint32_t hashToBucket(std::string_view Name, std::uint32_t Buckets) {
  return static_cast<std::uint32_t>(XXH64(Name.data(), Name.size(), 0) %
                                    Buckets);
}

// Returns the name in an entry's line, which is "  name: {...}", or an empty
// string if the line has no name.
std::string_view getEntryName(std::string_view Line) {
  std::size_t Colon = Line.find(": ");
  return Colon == std::string_view::npos || Colon <= 2
             ? std::string_view()
             : Line.substr(2, Colon - 2);
}

std::string getPartName(std::string_view Section, std::string_view Line) {
  if (Section == "routes")
    return "routes/" +
           formatHex(hashToBucket(getEntryName(Line), RouteBuckets));
  if (Section == "workspaces")
    return getWorkspacePartName(getWorkspaceBucket(getEntryName(Line)));
  return std::string(BasePart);
}

std::string_view takeLine(std::string_view &Text) {
  std::string_view Line = Text.substr(0, Text.find('\n'));
  Text.remove_prefix(std::min(Line.size() + 1, Text.size()));
  return Line;
}

bool isSection(std::string_view Line) {
  return Line.ends_with(':') &&
         std::find(SectionNames.begin(), SectionNames.end(),
                   Line.substr(0, Line.size() - 1)) != SectionNames.end();
}

bool isEntry(std::string_view Section, std::string_view Line) {
  if (Section.empty() || !Line.starts_with("  ") ||
      getEntryName(Line).empty() || Line[2] == ' ' || Line[2] == '#')
    return false;
  std::string_view Value = Line.substr(getEntryName(Line).size() + 4);
  return Section == FleetSection ||
         (Value.starts_with('{') && Value.ends_with('}') &&
          (Section != "workspaces" || hasHashedKeys(Value)));
}

} // namespace

base::ContentHash hashContent(std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(),
             nullptr);
  std::string Hex;
  for (std::size_t Index = 0; Index < HashBytes; ++Index) {
    Hex += Digits[Digest[Index] >> 4];
    Hex += Digits[Digest[Index] & 0xf];
  }
  return base::ContentHash(Hex);
}

ConfigPartPtr makePart(std::string Name, std::string Text) {
  boost::intrusive_ptr<ConfigPart> Part(new ConfigPart);
  Part->Name = std::move(Name);
  Part->Hash = hashContent(Text);
  Part->Text = std::move(Text);
  return Part;
}

std::uint32_t getWorkspaceBucket(std::string_view Name) {
  return hashToBucket(Name, WorkspaceBuckets);
}

std::string getWorkspacePartName(std::uint32_t Bucket) {
  return "workspaces/" + formatHex(Bucket);
}

PartSetPtr splitDocument(const std::string &Text) {
  std::map<std::string, std::string> Texts;
  std::map<std::string, std::string> LastSection;
  std::string Section;
  std::string_view Rest = Text;
  while (!Rest.empty()) {
    std::string_view Line = takeLine(Rest);
    if (isSection(Line)) {
      Section = std::string(Line.substr(0, Line.size() - 1));
      continue;
    }
    if (!isEntry(Section, Line))
      return nullptr;
    std::string Name = getPartName(Section, Line);
    if (std::exchange(LastSection[Name], Section) != Section)
      Texts[Name] += Section + ":\n";
    Texts[Name] += std::string(Line) + "\n";
  }
  boost::intrusive_ptr<PartSet> Document(new PartSet);
  for (auto &[Name, PartText] : Texts)
    Document->Parts.emplace(Name, makePart(Name, std::move(PartText)));
  return Document;
}

std::string joinParts(const PartSet &Document) {
  std::map<std::string, std::vector<std::string_view>, std::less<>> Lines;
  for (const auto &[Name, Part] : Document.Parts) {
    std::string Section;
    std::string_view Rest = Part->Text;
    while (!Rest.empty()) {
      std::string_view Line = takeLine(Rest);
      if (isSection(Line))
        Section = std::string(Line.substr(0, Line.size() - 1));
      else
        Lines[Section].push_back(Line);
    }
  }
  std::string Text;
  for (std::string_view Section : SectionNames) {
    auto It = Lines.find(Section);
    if (It == Lines.end())
      continue;
    // Routes and workspaces come in the order of their buckets and need
    // sorting. The entries of the base part keep their order.
    if (Section == "routes" || Section == "workspaces")
      std::sort(It->second.begin(), It->second.end(),
                [](std::string_view A, std::string_view B) {
                  return getEntryName(A) < getEntryName(B);
                });
    Text += std::string(Section) + ":\n";
    for (std::string_view Line : It->second)
      Text.append(Line).append("\n");
  }
  return Text;
}

// Versions share their unchanged parts, so most pairs are the same pointer and
// their hashes aren't compared.
std::vector<std::string> findChangedParts(const PartSet &Old,
                                          const PartSet &New) {
  std::vector<std::string> Names;
  for (const auto &[Name, Part] : New.Parts) {
    auto It = Old.Parts.find(Name);
    if (It == Old.Parts.end() ||
        (It->second != Part && It->second->Hash != Part->Hash))
      Names.push_back(Name);
  }
  for (const auto &[Name, Part] : Old.Parts)
    if (!New.Parts.contains(Name))
      Names.push_back(Name);
  return Names;
}

Manifest makeManifest(const PartSet &Document) {
  Manifest Hashes;
  for (const auto &[Name, Part] : Document.Parts)
    Hashes.emplace(Name, Part->Hash);
  return Hashes;
}

std::string formatManifest(const Manifest &Manifest) {
  std::string Text;
  for (const auto &[Name, Hash] : Manifest)
    Text += Name + " " + Hash.Value + "\n";
  return Text;
}

base::ContentHash hashManifest(const PartSet &Document) {
  return hashContent(formatManifest(makeManifest(Document)));
}

} // namespace currantgauge::config
