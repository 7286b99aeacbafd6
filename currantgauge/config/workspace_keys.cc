#include "currantgauge/config/workspace_keys.h"

#include "currantgauge/identity/key_hash.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::config {
namespace {

constexpr char KeysField[] = "keys";
constexpr std::string_view ListSeparator = ", ";

// KeyItem is one key of a list, as written.
struct KeyItem {
  std::string Text;
  SourceLocation Location;
};

std::string_view trimSpaces(std::string_view Text) {
  std::size_t Start = Text.find_first_not_of(' ');
  if (Start == std::string_view::npos)
    return {};
  return Text.substr(Start, Text.find_last_not_of(' ') - Start + 1);
}

// Splits "a, b". An empty text has no items.
std::vector<std::string_view> splitList(std::string_view Text) {
  std::vector<std::string_view> Items;
  if (trimSpaces(Text).empty())
    return Items;
  while (true) {
    std::size_t Comma = Text.find(',');
    Items.push_back(trimSpaces(Text.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      return Items;
    Text.remove_prefix(Comma + 1);
  }
}

std::vector<KeyItem> listItems(const Field &List) {
  std::vector<KeyItem> Items;
  for (std::string_view Text : splitList(List.Text))
    Items.push_back({std::string(Text), List.Location});
  return Items;
}

std::vector<KeyItem> listItems(const FieldMap &Map, const YAML::Node &List) {
  std::vector<KeyItem> Items;
  for (const YAML::Node &Item : List)
    Items.push_back(
        {Item.IsScalar() ? Item.Scalar() : std::string(),
         getLocation({Map.Location.File, Map.Errors}, Item.Mark())});
  return Items;
}

// Errors don't show the key, which is a secret.
std::optional<base::KeyHash> hashItem(const FieldMap &Map,
                                      const KeyItem &Item) {
  std::string Path = getKeyPath(Map, KeysField);
  if (Item.Text.empty()) {
    addError(*Map.Errors, Item.Location,
             Path + ": a key must be a single value that is not empty");
    return std::nullopt;
  }
  if (!Item.Text.starts_with(identity::KeyHashPrefix))
    return identity::hashKey(Item.Text);
  std::optional<base::KeyHash> Hash = identity::parseKeyHash(Item.Text);
  if (!Hash)
    addError(*Map.Errors, Item.Location,
             Path + ": a hash must be sha256: and 32 hex digits in lower case");
  return Hash;
}

std::optional<std::string> hashItems(const FieldMap &Map,
                                     const std::vector<KeyItem> &Items) {
  std::string Hashes;
  bool Valid = true;
  for (const KeyItem &Item : Items) {
    std::optional<base::KeyHash> Hash = hashItem(Map, Item);
    Valid = Valid && Hash;
    if (!Hash)
      continue;
    if (!Hashes.empty())
      Hashes += ListSeparator;
    Hashes += identity::formatKeyHash(*Hash);
  }
  return Valid ? std::optional(Hashes) : std::nullopt;
}

bool isHashList(std::string_view Text) {
  std::vector<std::string_view> Items = splitList(Text);
  return std::all_of(Items.begin(), Items.end(), [](std::string_view Item) {
    return identity::parseKeyHash(Item);
  });
}

// Takes a plain or double-quoted value from the start of Text. Returns an empty
// view if there is neither.
std::string_view takeValue(std::string_view &Text) {
  std::size_t End = 0;
  if (Text.starts_with('"')) {
    for (End = 1; End < Text.size() && Text[End] != '"'; ++End)
      End += Text[End] == '\\' ? 1 : 0;
    End = End < Text.size() ? End + 1 : 0;
  } else {
    End = std::min(Text.find_first_of(" ,:{}\"'"), Text.size());
  }
  std::string_view Value = Text.substr(0, End);
  Text.remove_prefix(End);
  return Value;
}

bool takeText(std::string_view &Text, std::string_view Expected) {
  if (!Text.starts_with(Expected))
    return false;
  Text.remove_prefix(Expected.size());
  return true;
}

// Returns whether a name has an escape that formatEntry() doesn't write; it may
// stand for any symbol.
bool hasForeignEscape(std::string_view Name) {
  for (std::size_t At = Name.find('\\'); At != std::string_view::npos;
       At = Name.find('\\', At + 2)) {
    std::string_view Escape = Name.substr(At + 1, 3);
    bool IsControl =
        Escape.starts_with("x0") || Escape.starts_with("x1") || Escape == "x7f";
    if (!IsControl && !Escape.starts_with('"') && !Escape.starts_with('\\'))
      return true;
  }
  return false;
}

// Takes a field and its value, such as "rank: normal". Returns false if it
// isn't written as formatEntry() writes it or holds a key.
bool takeHashedField(std::string_view &Text) {
  std::string_view Name = takeValue(Text);
  if (Name.empty() || hasForeignEscape(Name) || Name == "\"keys\"" ||
      !takeText(Text, ": "))
    return false;
  std::string_view Value = takeValue(Text);
  if (Value.empty())
    return false;
  return Name != KeysField || (Value.size() >= 2 && Value.starts_with('"') &&
                               isHashList(Value.substr(1, Value.size() - 2)));
}

} // namespace

void hashKeys(FieldMap &Map) {
  std::vector<KeyItem> Items;
  SourceLocation Location;
  auto Scalar = Map.Fields.find(KeysField);
  auto List = Map.Nested.find(KeysField);
  if (Scalar != Map.Fields.end()) {
    Items = listItems(Scalar->second);
    Location = Scalar->second.Location;
    Map.Fields.erase(Scalar);
  } else if (List != Map.Nested.end() && List->second.IsSequence()) {
    Items = listItems(Map, List->second);
    Location =
        getLocation({Map.Location.File, Map.Errors}, List->second.Mark());
    Map.Nested.erase(List);
  } else {
    return;
  }
  if (std::optional<std::string> Hashes = hashItems(Map, Items))
    Map.Fields[KeysField] = Field{std::move(*Hashes), Location};
}

void readKeys(FieldMap &Map, WorkspaceSettings &Workspace) {
  std::string Text;
  readValue(Map, KeysField, Text);
  for (std::string_view Item : splitList(Text)) {
    if (std::optional<base::KeyHash> Hash = identity::parseKeyHash(Item))
      Workspace.Keys.push_back(*Hash);
    else
      return addFieldError(Map, KeysField, " must be hashed");
  }
}

// Entries of clients other than the project's own may be in any style of YAML,
// so one that mentions keys, or may do so in escapes, must be in canonical form
// to be understood.
bool hasHashedKeys(std::string_view Entry) {
  if (Entry.find(KeysField) == std::string_view::npos &&
      Entry.find('\\') == std::string_view::npos)
    return true;
  if (!takeText(Entry, "{"))
    return false;
  do {
    if (!takeHashedField(Entry))
      return false;
  } while (takeText(Entry, ListSeparator));
  return Entry == "}";
}

} // namespace currantgauge::config
