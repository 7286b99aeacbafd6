// The merged configuration document: sections of named entries with fields,
// each with the location it came from. A later file overrides single keys of an
// earlier one and removes an entry or a key by the value null.
//
//   Document Merged;
//   mergeInto(Merged, FileName, Text, Errors);
//   std::string Text = formatDocument(Merged);
#ifndef CURRANTGAUGE_CONFIG_MERGE_H
#define CURRANTGAUGE_CONFIG_MERGE_H

#include "currantgauge/config/field_map.h"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace currantgauge::config {

// SectionNames are the keys of a document's root. FleetSection holds fields,
// the other sections hold named entries.
constexpr std::string_view FleetSection = "fleet";
constexpr std::array<std::string_view, 6> SectionNames = {
    FleetSection, "ranks", "services", "kinds", "routes", "workspaces"};

// DocumentEntry is one rank, service, kind, route or workspace.
struct DocumentEntry {
  SourceLocation Location;
  std::map<std::string, Field> Fields;
};

using DocumentSection = std::map<std::string, DocumentEntry>;

// Document is the result of merging files. FleetSection has a single entry
// named "".
struct Document {
  std::deque<std::string> FileNames; // referred to by the locations
  std::map<std::string, DocumentSection, std::less<>> Sections;
};

// mergeInto() merges a file into Merged and appends its errors to Errors.
void mergeInto(Document &Merged, const std::string &FileName,
               const std::string &Text, SettingsErrors &Errors);

// formatEntry() returns an entry as a line such as "  name: {key: value}\n".
std::string formatEntry(const std::string &Name, const DocumentEntry &Entry);

// formatDocument() returns the document in canonical form: sections in the
// order of SectionNames, entries and fields sorted, one line per entry.
std::string formatDocument(const Document &Merged);

// formatOrigins() returns a line for each value with the file and line it came
// from.
std::string formatOrigins(const Document &Merged);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_MERGE_H
