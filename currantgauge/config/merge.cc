#include "currantgauge/config/merge.h"

#include "currantgauge/config/workspace_keys.h"

#include <cstddef>
#include <optional>
#include <utility>

namespace currantgauge::config {
namespace {

constexpr std::size_t MaxNameLength = 128; // characters
constexpr std::string_view NameSymbols =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/@";

// isPlain() returns true if Text can be written as a YAML string without
// quotes and isn't read as a null.
bool isPlain(std::string_view Text) {
  return !Text.empty() && Text.front() != '-' && Text.front() != '@' &&
         Text.find_first_not_of(NameSymbols) == std::string_view::npos &&
         Text != "null" && Text != "Null" && Text != "NULL";
}

bool isName(std::string_view Text) {
  return isPlain(Text) && Text.size() <= MaxNameLength;
}

// Quotes Text for YAML unless isPlain().
std::string quoteIfNeeded(std::string_view Text) {
  if (isPlain(Text))
    return std::string(Text);
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Result = "\"";
  for (char Symbol : Text) {
    auto Code = static_cast<unsigned char>(Symbol);
    if (Symbol == '"' || Symbol == '\\') {
      Result += '\\';
      Result += Symbol;
    } else if (Code < 0x20 || Code == 0x7f) {
      Result += "\\x";
      Result += Digits[Code >> 4];
      Result += Digits[Code & 0xf];
    } else {
      Result += Symbol;
    }
  }
  return Result + "\"";
}

// removeOrReport() erases the entry or field that a null removes. If there is
// none, its name is probably misspelled, so that is an error.
template <typename Map>
void removeOrReport(Map &Entries, const std::string &Key,
                    const std::string &Path, const SourceLocation &Location,
                    SettingsErrors &Errors) {
  if (Entries.erase(Key) == 0)
    addError(Errors, Location,
             "null removes " + Path + ", but no earlier file sets it");
}

void mergeFields(DocumentEntry &Entry, FieldMap &Map) {
  for (auto &[Key, Value] : Map.Fields)
    Entry.Fields[Key] = std::move(Value);
  for (const auto &[Key, Node] : Map.Nested) {
    SourceLocation Location =
        getLocation({Map.Location.File, Map.Errors}, Node.Mark());
    if (Node.IsNull())
      removeOrReport(Entry.Fields, Key, getKeyPath(Map, Key), Location,
                     *Map.Errors);
    else
      addError(*Map.Errors, Location,
               getKeyPath(Map, Key) + " must be a single value");
  }
}

void mergeEntry(DocumentSection &Section, const YamlSource &Source,
                const std::string &Name, const YAML::Node &Node,
                const std::string &Path) {
  SourceLocation Location = getLocation(Source, Node.Mark());
  if (Node.IsNull())
    return removeOrReport(Section, Name, Path, Location, *Source.Errors);
  if (!Name.empty() && !isName(Name))
    return addError(*Source.Errors, Location,
                    Path + ": a name must have 1 to 128 characters from a-z, "
                           "A-Z, 0-9 and ._-/@, must not start with - or @ and "
                           "must not be null");
  FieldMap Map = readMap(Source, Node, Path);
  if (Path.starts_with("workspaces."))
    hashKeys(Map);
  DocumentEntry &Entry = Section[Name];
  if (!Entry.Location.File)
    Entry.Location = Location;
  mergeFields(Entry, Map);
}

void mergeSection(Document &Merged, const YamlSource &Source,
                  const std::string &Name, const YAML::Node &Node) {
  DocumentSection &Section = Merged.Sections[Name];
  if (Name == FleetSection)
    return mergeEntry(Section, Source, "", Node, Name);
  FieldMap Map = readMap(Source, Node, Name);
  for (const auto &[Key, Value] : Map.Fields)
    addError(*Source.Errors, Value.Location,
             getKeyPath(Map, Key) + " must be a map of keys");
  for (const auto &[Key, Entry] : Map.Nested)
    mergeEntry(Section, Source, Key, Entry, getKeyPath(Map, Key));
}

std::string formatLocation(const SourceLocation &Location) {
  return (Location.File ? *Location.File : "") + ":" +
         std::to_string(Location.Line);
}

} // namespace

void mergeInto(Document &Merged, const std::string &FileName,
               const std::string &Text, SettingsErrors &Errors) {
  const std::string &File = Merged.FileNames.emplace_back(FileName);
  YamlSource Source{&File, &Errors};
  std::optional<YAML::Node> Loaded = loadYaml(Source, Text);
  if (!Loaded)
    return;
  FieldMap Root = readMap(Source, *Loaded, "");
  for (std::string_view Name : SectionNames)
    if (const YAML::Node *Node = findNested(Root, std::string(Name)))
      mergeSection(Merged, Source, std::string(Name), *Node);
  reportUnknownKeys(Root);
}

std::string formatEntry(const std::string &Name, const DocumentEntry &Entry) {
  std::string Line = "  " + quoteIfNeeded(Name) + ": {";
  const char *Separator = "";
  for (const auto &[Key, Value] : Entry.Fields) {
    Line += Separator + quoteIfNeeded(Key) + ": " + quoteIfNeeded(Value.Text);
    Separator = ", ";
  }
  return Line + "}\n";
}

std::string formatDocument(const Document &Merged) {
  std::string Text;
  for (std::string_view Name : SectionNames) {
    auto Section = Merged.Sections.find(Name);
    if (Section == Merged.Sections.end() || Section->second.empty())
      continue;
    Text += std::string(Name) + ":\n";
    for (const auto &[Key, Entry] : Section->second) {
      if (Name != FleetSection)
        Text += formatEntry(Key, Entry);
      else
        for (const auto &[Field, Value] : Entry.Fields)
          Text += "  " + quoteIfNeeded(Field) + ": " +
                  quoteIfNeeded(Value.Text) + "\n";
    }
  }
  return Text;
}

std::string formatOrigins(const Document &Merged) {
  std::string Text;
  for (std::string_view Name : SectionNames) {
    auto Section = Merged.Sections.find(Name);
    if (Section == Merged.Sections.end())
      continue;
    for (const auto &[Key, Entry] : Section->second)
      for (const auto &[Field, Value] : Entry.Fields)
        Text += std::string(Name) + (Key.empty() ? "" : ".") + Key + "." +
                Field + ": " + quoteIfNeeded(Value.Text) + "  # " +
                formatLocation(Value.Location) + "\n";
  }
  return Text;
}

} // namespace currantgauge::config
