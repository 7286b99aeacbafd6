// Reading of the YAML that large configurations consist of: sections of entries
// with one line each, without nulls, anchors or escapes. Anything else is left
// to the YAML library.
//
//   std::vector<PlainLine> Lines;
//   if (!readPlainYaml(Text, Lines)) ...
#ifndef CURRANTGAUGE_CONFIG_PLAIN_YAML_H
#define CURRANTGAUGE_CONFIG_PLAIN_YAML_H

#include <string_view>
#include <vector>

namespace currantgauge::config {

// PlainField is one "key: value". Column counts from 1.
struct PlainField {
  std::string_view Key;
  std::string_view Value;
  int Column = 1;
};

// PlainLine is one entry with its fields, or one field of the fleet section,
// with an empty name. Line and Column, of its value, count from 1.
struct PlainLine {
  std::string_view Section;
  std::string_view Name;
  int Line = 1;
  int Column = 1;
  std::vector<PlainField> Fields;
};

// readPlainYaml() fills Lines with views into Text. Returns false when any line
// is not of the plain form, or a section, name or key stands twice.
bool readPlainYaml(std::string_view Text, std::vector<PlainLine> &Lines);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PLAIN_YAML_H
