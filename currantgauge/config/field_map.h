// Strict reading of maps of keys: each mistake is noted with its place and
// reading goes on, so that all of them are found in one pass.
//
//   FieldMap Map = readMap(Source, Node, "limits");
//   readValue(Map, "header", Settings.HeaderLimit);
//   reportUnknownKeys(Map); // notes unknown keys
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

// Place is where a value stands. Line and Column count from 1.
struct SourceLocation {
  const std::string *File = nullptr; // outlives the place
  int Line = 1;
  int Column = 1;
};

// Field is one value and where it stands.
struct Field {
  std::string Text;
  SourceLocation Location;
};

// FieldMap is one map of a file. Path names it in errors, empty at the root.
struct FieldMap {
  SettingsErrors *Errors = nullptr;
  std::string Path;
  SourceLocation Location;
  std::map<std::string, Field> Fields;
  std::map<std::string, YAML::Node> Nested; // entries that are no scalars
  std::vector<std::string> KnownKeys;       // keys that were asked for
};

// YamlSource is a file being read and the list its mistakes go to.
struct YamlSource {
  const std::string *File = nullptr;
  SettingsErrors *Errors = nullptr;
};

// getLocation() returns where a node stands.
SourceLocation getLocation(const YamlSource &Source, const YAML::Mark &Mark);

// addError() appends a mistake.
void addError(SettingsErrors &Errors, const SourceLocation &Location,
              const std::string &Text);

// loadYaml() parses a text; none after noting a syntax error. An empty text
// is an empty map.
std::optional<YAML::Node> loadYaml(const YamlSource &Source,
                                   const std::string &Text);

// readMap() returns a map's entries; notes a node that is no map, keys that
// are no scalars and keys given twice.
FieldMap readMap(const YamlSource &Source, const YAML::Node &Node,
                 const std::string &Path);

// reportUnknownKeys() notes each entry that was not asked for, with the nearest
// key.
void reportUnknownKeys(const FieldMap &Map);

// findField() returns the value of Key, null when there is none; notes one
// that is a map or a list.
const Field *findField(FieldMap &Map, const std::string &Key);

// findNested() returns the map or list of Key, null when there is none; notes
// one that is a single value.
const YAML::Node *findNested(FieldMap &Map, const std::string &Key);

// requireField() notes a missing key.
void requireField(FieldMap &Map, const std::string &Key);

// addFieldError() notes a mistake of Key's value, or of the map without one.
void addFieldError(const FieldMap &Map, const std::string &Key,
                   const std::string &Text);

// getKeyPath() returns "services.cutlist.floor".
std::string getKeyPath(const FieldMap &Map, const std::string &Key);

// readValue() sets Value from Key's field. Value stays as it is when there is
// no such entry, or when it is malformed, which is noted.
void readValue(FieldMap &Map, const std::string &Key, std::string &Value);
void readValue(FieldMap &Map, const std::string &Key, bool &Value);
void readValue(FieldMap &Map, const std::string &Key, std::uint32_t &Value);
void readValue(FieldMap &Map, const std::string &Key, double &Value);
void readValue(FieldMap &Map, const std::string &Key, base::Duration &Value);
void readValue(FieldMap &Map, const std::string &Key, base::ByteCount &Value);
void readValue(FieldMap &Map, const std::string &Key, base::Percent &Value);
void readValue(FieldMap &Map, const std::string &Key, base::PerSecond &Value);
void readValue(FieldMap &Map, const std::string &Key, base::NetAddress &Value);

// readName() reads a name of a strong type.
template <typename Name>
void readName(FieldMap &Map, const std::string &Key, Name &Value) {
  readValue(Map, Key, Value.Value);
}

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_FIELD_MAP_H
