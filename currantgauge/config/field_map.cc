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

// yaml-cpp parses by recursion: a limit on nesting keeps its stack bounded.
constexpr std::size_t MaxNesting = 64;

// nestingOf() counts brackets and indentation, and so never undercounts.
std::size_t nestingOf(std::string_view Text) {
  std::size_t Open = 0;
  std::size_t Deepest = 0;
  std::size_t LineIndent = 0;
  bool AtLineStart = true;
  for (char Symbol : Text) {
    if (Symbol == '\n') {
      AtLineStart = true;
      LineIndent = 0;
      continue;
    }
    bool Nests = Symbol == '[' || Symbol == '{';
    if (AtLineStart &&
        (Symbol == ' ' || Symbol == '-' || Symbol == '?' || Symbol == ':'))
      ++LineIndent;
    else
      AtLineStart = false;
    if (Nests)
      ++Open;
    if ((Symbol == ']' || Symbol == '}') && Open > 0)
      --Open;
    Deepest = std::max(Deepest, Open + LineIndent / 2);
  }
  return Deepest;
}

template <typename Value, typename Parser>
void readParsed(FieldMap &Map, const std::string &Key, Value &Target,
                Parser Parse, const std::string &Wanted) {
  const Field *Found = findField(Map, Key);
  if (!Found)
    return;
  if (auto Parsed = Parse(Found->Text))
    Target = *Parsed;
  else
    noteField(Map, Key, ": \"" + Found->Text + "\" is not " + Wanted);
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const char *End = Text.data() + Text.size();
  auto [Rest, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

std::optional<double> parseAmount(std::string_view Text) {
  auto Value = parseNumber<double>(Text);
  if (!Value || !std::isfinite(*Value) || *Value < 0)
    return std::nullopt;
  return Value;
}

std::optional<bool> parseSwitch(std::string_view Text) {
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

Place placeOf(const YamlSource &Source, const YAML::Mark &Mark) {
  if (Mark.is_null())
    return Place{Source.File, 1, 1};
  return Place{Source.File, Mark.line + 1, Mark.column + 1};
}

void noteError(SettingsErrors &Errors, const Place &Where,
               const std::string &Text) {
  Errors.push_back(
      {Where.File ? *Where.File : "", Where.Line, Where.Column, Text});
}

std::optional<YAML::Node> loadYaml(const YamlSource &Source,
                                   const std::string &Text) {
  if (nestingOf(Text) > MaxNesting) {
    noteError(*Source.Errors, Place{Source.File},
              "nested deeper than " + std::to_string(MaxNesting) + " levels");
    return std::nullopt;
  }
  try {
    YAML::Node Root = YAML::Load(Text);
    return Root.IsDefined() && !Root.IsNull() ? Root
                                              : YAML::Node(YAML::NodeType::Map);
  } catch (const YAML::Exception &Failure) {
    noteError(*Source.Errors, placeOf(Source, Failure.mark),
              "malformed YAML: " + Failure.msg);
    return std::nullopt;
  }
}

FieldMap openMap(const YamlSource &Source, const YAML::Node &Node,
                 const std::string &Path) {
  FieldMap Map{Source.Errors, Path, placeOf(Source, Node.Mark()), {}, {}, {}};
  if (!Node.IsMap()) {
    noteError(*Map.Errors, Map.Where,
              (Path.empty() ? "the file" : Path) + " must be a map of keys");
    return Map;
  }
  for (const auto &Entry : Node) {
    Place Where = placeOf(Source, Entry.first.Mark());
    if (!Entry.first.IsScalar()) {
      noteError(*Map.Errors, Where, "a key must be a plain name");
      continue;
    }
    const std::string &Key = Entry.first.Scalar();
    if (Map.Fields.contains(Key) || Map.Nested.contains(Key))
      noteError(*Map.Errors, Where, pathOf(Map, Key) + " stands twice");
    else if (Entry.second.IsScalar())
      Map.Fields.emplace(Key, Field{Entry.second.Scalar(), Where});
    else
      Map.Nested.emplace(Key, Entry.second);
  }
  return Map;
}

void closeMap(const FieldMap &Map) {
  auto Check = [&](const std::string &Key, const Place &Where) {
    if (std::find(Map.Known.begin(), Map.Known.end(), Key) != Map.Known.end())
      return;
    std::string Nearest = findNearestName(Key, Map.Known);
    noteError(*Map.Errors, Where,
              "unknown key " + pathOf(Map, Key) +
                  (Nearest.empty() ? "" : "; did you mean " + Nearest + "?"));
  };
  for (const auto &[Key, Found] : Map.Fields)
    Check(Key, Found.Where);
  for (const auto &[Key, Node] : Map.Nested)
    Check(Key, placeOf({Map.Where.File, Map.Errors}, Node.Mark()));
}

const Field *findField(FieldMap &Map, const std::string &Key) {
  Map.Known.push_back(Key);
  auto Found = Map.Fields.find(Key);
  if (Found != Map.Fields.end())
    return &Found->second;
  auto Nested = Map.Nested.find(Key);
  if (Nested != Map.Nested.end())
    noteError(*Map.Errors,
              placeOf({Map.Where.File, Map.Errors}, Nested->second.Mark()),
              pathOf(Map, Key) + " must be one value");
  return nullptr;
}

const YAML::Node *findNested(FieldMap &Map, const std::string &Key) {
  Map.Known.push_back(Key);
  auto Nested = Map.Nested.find(Key);
  if (Nested != Map.Nested.end())
    return &Nested->second;
  if (Map.Fields.contains(Key))
    noteField(Map, Key, " must not be one value");
  return nullptr;
}

void requireField(FieldMap &Map, const std::string &Key) {
  if (!Map.Fields.contains(Key) && !Map.Nested.contains(Key))
    noteError(*Map.Errors, Map.Where, pathOf(Map, Key) + " is missing");
}

void noteField(const FieldMap &Map, const std::string &Key,
               const std::string &Text) {
  auto Found = Map.Fields.find(Key);
  noteError(*Map.Errors,
            Found == Map.Fields.end() ? Map.Where : Found->second.Where,
            pathOf(Map, Key) + Text);
}

std::string pathOf(const FieldMap &Map, const std::string &Key) {
  if (Map.Path.empty() || Key.empty())
    return Map.Path + Key;
  return Map.Path + "." + Key;
}

void readValue(FieldMap &Map, const std::string &Key, std::string &Value) {
  if (const Field *Found = findField(Map, Key))
    Value = Found->Text;
}

void readValue(FieldMap &Map, const std::string &Key, bool &Value) {
  readParsed(Map, Key, Value, parseSwitch, "true or false");
}

void readValue(FieldMap &Map, const std::string &Key, std::uint32_t &Value) {
  readParsed(Map, Key, Value, parseNumber<std::uint32_t>, "a whole number");
}

void readValue(FieldMap &Map, const std::string &Key, double &Value) {
  readParsed(Map, Key, Value, parseAmount, "a number of at least 0");
}

void readValue(FieldMap &Map, const std::string &Key, base::Duration &Value) {
  readParsed(Map, Key, Value, parseDuration,
             "a time with its unit, such as 250ms, 5s or 2m");
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
