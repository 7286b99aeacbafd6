// The merged document: sections of named entries of fields, each with the
// place it came from. A later file overrides by key, null removes.
//
//   Document Merged;
//   mergeInto(Merged, File, Errors);
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

// SectionNames are the keys of a document's root. FleetSection has fields
// alone; the others have named entries.
constexpr std::string_view FleetSection = "fleet";
constexpr std::array<std::string_view, 6> SectionNames = {
    FleetSection, "ranks", "services", "kinds", "routes", "workspaces"};

// DocumentEntry is one rank, service, kind, route or workspace.
struct DocumentEntry {
  SourceLocation Location;
  std::map<std::string, Field> Fields;
};

using DocumentSection = std::map<std::string, DocumentEntry>;

// Document is what files say together. The fleet section has one entry, "".
struct Document {
  std::deque<std::string> FileNames; // that the places point to
  std::map<std::string, DocumentSection, std::less<>> Sections;
};

// mergeInto() lays one file's text over Merged and notes its mistakes.
void mergeInto(Document &Merged, const std::string &FileName,
               const std::string &Text, SettingsErrors &Errors);

// formatEntry() returns an entry as one line: "  name: {key: value}\n".
std::string formatEntry(const std::string &Name, const DocumentEntry &Entry);

// formatDocument() returns the document in its canonical form: sections in the
// order of SectionNames, entries and fields sorted, one entry a line.
std::string formatDocument(const Document &Merged);

// formatOrigins() returns a line for each value with the place it came from.
std::string formatOrigins(const Document &Merged);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_MERGE_H
