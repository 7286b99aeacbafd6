// Strict parsing of YAML maps. An error is added to a list with its location
// and parsing continues, so that one pass finds all errors.
//
//   FieldMap Map = readMap(Source, Node, "limits");
//   readValue(Map, "header", Settings.HeaderLimit);
//   reportUnknownKeys(Map);
#ifndef CURRANTGAUGE_CONFIG_FIELD_MAP_H
#define CURRANTGAUGE_CONFIG_FIELD_MAP_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/node_settings.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantgauge::config {

// SourceLocation is a position in a file. Line and Column start at 1.
struct SourceLocation {
  const std::string *File = nullptr; // its name; must outlive the location
  int Line = 1;
  int Column = 1;
};

// Field is a scalar value and the location of its key.
struct Field {
  std::string Text;
  SourceLocation Location;
};

// FieldMap is a YAML map. Path is its dotted path for error messages, empty for
// the root.
struct FieldMap {
  SettingsErrors *Errors = nullptr;
  std::string Path;
  SourceLocation Location;
  std::map<std::string, Field> Fields;
  std::map<std::string, YAML::Node> Nested; // values that are not scalars
  std::vector<std::string> KnownKeys;       // that were looked up
};

// YamlSource is the name of a file being parsed and the list of its errors.
struct YamlSource {
  const std::string *File = nullptr;
  SettingsErrors *Errors = nullptr;
};

// getLocation() returns the location of a node from its mark, the start of the
// file if the mark is null.
SourceLocation getLocation(const YamlSource &Source, const YAML::Mark &Mark);

// addError() appends an error.
void addError(SettingsErrors &Errors, const SourceLocation &Location,
              const std::string &Text);

// loadYaml() parses a file's text. An empty text is an empty map. Adds an error
// and returns none if the YAML is malformed.
std::optional<YAML::Node> loadYaml(const YamlSource &Source,
                                   const std::string &Text);

// readMap() returns the entries of a map. Adds errors for a node that is not a
// map, keys that are not scalars and duplicate keys.
FieldMap readMap(const YamlSource &Source, const YAML::Node &Node,
                 const std::string &Path);

// reportUnknownKeys() adds an error for each entry that was not looked up and
// suggests the most similar known key. Call it after all lookups.
void reportUnknownKeys(const FieldMap &Map);

// findField() returns the scalar value of Key, null if there is none. Adds an
// error if the value is a map, a list or null.
const Field *findField(FieldMap &Map, const std::string &Key);

// findNested() returns the value of Key if it is a map, a list or a YAML null,
// and a null pointer if there is none. Adds an error if the value is a scalar.
const YAML::Node *findNested(FieldMap &Map, const std::string &Key);

// requireField() adds an error if Key is missing.
void requireField(FieldMap &Map, const std::string &Key);

// addFieldError() adds an error that consists of Key's path and Text, at the
// location of Key or, if Key has no scalar value, of the map.
void addFieldError(const FieldMap &Map, const std::string &Key,
                   const std::string &Text);

// getKeyPath() returns the dotted path of Key, such as
// "services.cutlist.floor".
std::string getKeyPath(const FieldMap &Map, const std::string &Key);

// readValue() parses Key's value into Value. Leaves Value unchanged if Key is
// missing, and also, after adding an error, if its value is malformed.
void readValue(FieldMap &Map, const std::string &Key, std::string &Value);
void readValue(FieldMap &Map, const std::string &Key, bool &Value);
void readValue(FieldMap &Map, const std::string &Key, std::uint32_t &Value);
void readValue(FieldMap &Map, const std::string &Key, double &Value);
void readValue(FieldMap &Map, const std::string &Key, base::Duration &Value);
void readValue(FieldMap &Map, const std::string &Key, base::ByteCount &Value);
void readValue(FieldMap &Map, const std::string &Key, base::Percent &Value);
void readValue(FieldMap &Map, const std::string &Key, base::PerSecond &Value);
void readValue(FieldMap &Map, const std::string &Key, base::NetAddress &Value);

// readName() is readValue() for a name of a strong type.
template <typename Name>
void readName(FieldMap &Map, const std::string &Key, Name &Value) {
  readValue(Map, Key, Value.Value);
}

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_FIELD_MAP_H
