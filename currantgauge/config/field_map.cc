#include "currantgauge/config/field_map.h"

#include "currantgauge/config/quantity.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <string_view>
#include <utility>

namespace currantgauge::config {
namespace {

// yaml-cpp parses recursively; the limit bounds its use of the stack.
constexpr std::size_t MaxNesting = 64;

// estimateNesting() returns an estimate of the nesting depth, from brackets and
// from indentation at two columns a level.
std::size_t estimateNesting(std::string_view Text) {
  std::size_t OpenBrackets = 0;
  std::size_t MaxDepth = 0;
  std::size_t LineIndent = 0;
  bool AtLineStart = true;
  for (char Symbol : Text) {
    if (Symbol == '\n') {
      AtLineStart = true;
      LineIndent = 0;
      continue;
    }
    bool OpensBracket = Symbol == '[' || Symbol == '{';
    if (AtLineStart &&
        (Symbol == ' ' || Symbol == '-' || Symbol == '?' || Symbol == ':'))
      ++LineIndent;
    else
      AtLineStart = false;
    if (OpensBracket)
      ++OpenBrackets;
    if ((Symbol == ']' || Symbol == '}') && OpenBrackets > 0)
      --OpenBrackets;
    MaxDepth = std::max(MaxDepth, OpenBrackets + LineIndent / 2);
  }
  return MaxDepth;
}

template <typename Value, typename Parser>
void readParsed(FieldMap &Map, const std::string &Key, Value &Target,
                Parser Parse, const std::string &Expected) {
  const Field *Entry = findField(Map, Key);
  if (!Entry)
    return;
  if (auto Parsed = Parse(Entry->Text))
    Target = *Parsed;
  else
    addFieldError(Map, Key, ": \"" + Entry->Text + "\" is not " + Expected);
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

std::optional<double> parseNonNegative(std::string_view Text) {
  auto Value = parseNumber<double>(Text);
  if (!Value || !std::isfinite(*Value) || *Value < 0)
    return std::nullopt;
  return Value;
}

std::optional<bool> parseBool(std::string_view Text) {
  if (Text == "true")
    return true;
  if (Text == "false")
    return false;
  return std::nullopt;
}

} // namespace

std::string formatError(const SettingsError &Error) {
  return Error.File + ":" + std::to_string(Error.Line) + ":" +
         std::to_string(Error.Column) + ": " + Error.Text;
}

SourceLocation getLocation(const YamlSource &Source, const YAML::Mark &Mark) {
  if (Mark.is_null())
    return SourceLocation{Source.File, 1, 1};
  return SourceLocation{Source.File, Mark.line + 1, Mark.column + 1};
}

void addError(SettingsErrors &Errors, const SourceLocation &Location,
              const std::string &Text) {
  Errors.push_back({Location.File ? *Location.File : "", Location.Line,
                    Location.Column, Text});
}

std::optional<YAML::Node> loadYaml(const YamlSource &Source,
                                   const std::string &Text) {
  if (estimateNesting(Text) > MaxNesting) {
    addError(*Source.Errors, SourceLocation{Source.File},
             "the file is nested deeper than " + std::to_string(MaxNesting) +
                 " levels");
    return std::nullopt;
  }
  try {
    YAML::Node Root = YAML::Load(Text);
    return Root.IsDefined() && !Root.IsNull() ? Root
                                              : YAML::Node(YAML::NodeType::Map);
  } catch (const YAML::Exception &Error) {
    addError(*Source.Errors, getLocation(Source, Error.mark),
             "malformed YAML: " + Error.msg);
    return std::nullopt;
  }
}

FieldMap readMap(const YamlSource &Source, const YAML::Node &Node,
                 const std::string &Path) {
  FieldMap Map{
      Source.Errors, Path, getLocation(Source, Node.Mark()), {}, {}, {}};
  if (!Node.IsMap()) {
    addError(*Map.Errors, Map.Location,
             (Path.empty() ? "the file" : Path) + " must be a map of keys");
    return Map;
  }
  for (const auto &Entry : Node) {
    SourceLocation Location = getLocation(Source, Entry.first.Mark());
    if (!Entry.first.IsScalar()) {
      addError(*Map.Errors, Location,
               "a key must be a single value, not a map or a list");
      continue;
    }
    const std::string &Key = Entry.first.Scalar();
    if (Map.Fields.contains(Key) || Map.Nested.contains(Key))
      addError(*Map.Errors, Location,
               getKeyPath(Map, Key) + " is given more than once");
    else if (Entry.second.IsScalar())
      Map.Fields.emplace(Key, Field{Entry.second.Scalar(), Location});
    else
      Map.Nested.emplace(Key, Entry.second);
  }
  return Map;
}

void reportUnknownKeys(const FieldMap &Map) {
  auto Check = [&](const std::string &Key, const SourceLocation &Location) {
    if (std::find(Map.KnownKeys.begin(), Map.KnownKeys.end(), Key) !=
        Map.KnownKeys.end())
      return;
    std::string Nearest = findNearestName(Key, Map.KnownKeys);
    addError(*Map.Errors, Location,
             "unknown key " + getKeyPath(Map, Key) +
                 (Nearest.empty() ? "" : "; did you mean " + Nearest + "?"));
  };
  for (const auto &[Key, Value] : Map.Fields)
    Check(Key, Value.Location);
  for (const auto &[Key, Node] : Map.Nested)
    Check(Key, getLocation({Map.Location.File, Map.Errors}, Node.Mark()));
}

const Field *findField(FieldMap &Map, const std::string &Key) {
  Map.KnownKeys.push_back(Key);
  auto It = Map.Fields.find(Key);
  if (It != Map.Fields.end())
    return &It->second;
  auto NestedIt = Map.Nested.find(Key);
  if (NestedIt != Map.Nested.end())
    addError(
        *Map.Errors,
        getLocation({Map.Location.File, Map.Errors}, NestedIt->second.Mark()),
        getKeyPath(Map, Key) + " must be a single value");
  return nullptr;
}

const YAML::Node *findNested(FieldMap &Map, const std::string &Key) {
  Map.KnownKeys.push_back(Key);
  auto It = Map.Nested.find(Key);
  if (It != Map.Nested.end())
    return &It->second;
  if (Map.Fields.contains(Key))
    addFieldError(Map, Key, " must be a map or a list, not a single value");
  return nullptr;
}

void requireField(FieldMap &Map, const std::string &Key) {
  if (!Map.Fields.contains(Key) && !Map.Nested.contains(Key))
    addError(*Map.Errors, Map.Location, getKeyPath(Map, Key) + " is missing");
}

void addFieldError(const FieldMap &Map, const std::string &Key,
                   const std::string &Text) {
  auto It = Map.Fields.find(Key);
  addError(*Map.Errors,
           It == Map.Fields.end() ? Map.Location : It->second.Location,
           getKeyPath(Map, Key) + Text);
}

std::string getKeyPath(const FieldMap &Map, const std::string &Key) {
  if (Map.Path.empty() || Key.empty())
    return Map.Path + Key;
  return Map.Path + "." + Key;
}

void readValue(FieldMap &Map, const std::string &Key, std::string &Value) {
  if (const Field *Read = findField(Map, Key))
    Value = Read->Text;
}

void readValue(FieldMap &Map, const std::string &Key, bool &Value) {
  readParsed(Map, Key, Value, parseBool, "true or false");
}

void readValue(FieldMap &Map, const std::string &Key, std::uint32_t &Value) {
  readParsed(Map, Key, Value, parseNumber<std::uint32_t>, "a whole number");
}

void readValue(FieldMap &Map, const std::string &Key, double &Value) {
  readParsed(Map, Key, Value, parseNonNegative, "a number of at least 0");
}

void readValue(FieldMap &Map, const std::string &Key, base::Duration &Value) {
  readParsed(Map, Key, Value, parseDuration,
             "a duration with its unit, such as 250ms, 5s or 2m");
}

void readValue(FieldMap &Map, const std::string &Key, base::ByteCount &Value) {
  readParsed(Map, Key, Value, parseBytes,
             "a size with its unit, such as 64KiB or 1MiB");
}

void readValue(FieldMap &Map, const std::string &Key, base::Percent &Value) {
  readParsed(Map, Key, Value, parsePercent,
             "a share from 0% to 100%, such as 60%");
}

void readValue(FieldMap &Map, const std::string &Key, base::PerSecond &Value) {
  readParsed(Map, Key, Value, parseRate,
             "a rate with its unit, such as 20/s, or none");
}

void readValue(FieldMap &Map, const std::string &Key, base::NetAddress &Value) {
  auto Parse = [](const std::string &Text) -> std::optional<base::NetAddress> {
    if (!isNetAddress(Text))
      return std::nullopt;
    return base::NetAddress(Text);
  };
  readParsed(Map, Key, Value, Parse, "an IP:port, such as 10.0.0.7:8080");
}

} // namespace currantgauge::config
