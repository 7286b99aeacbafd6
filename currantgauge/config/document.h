// Parses the configuration, either from a folder of YAML files, merged in the
// order of their names, or from the merged document that is stored and sent to
// other nodes.
//
//   SettingsErrors Errors;
//   std::string Merged = mergeFiles(Files, Errors);
//   ConfigurationPtr Config = parseDocument(Merged, "merged", Errors);
#ifndef CURRANTGAUGE_CONFIG_DOCUMENT_H
#define CURRANTGAUGE_CONFIG_DOCUMENT_H

#include "currantgauge/config/merge.h"
#include "currantgauge/config/model.h"
#include "currantgauge/config/node_settings.h"

#include <string>
#include <vector>

namespace currantgauge::config {

// ConfigFile is a file of the folder.
struct ConfigFile {
  std::string Name;
  std::string Text;
};

// mergeDocument() returns the document merged from Files, with the location of
// each value, and appends errors to Errors.
Document mergeDocument(std::vector<ConfigFile> Files, SettingsErrors &Errors);

// mergeFiles() returns the merged document as text in canonical form.
std::string mergeFiles(std::vector<ConfigFile> Files, SettingsErrors &Errors);

// checkDocument() builds and validates the configuration of a document. If it
// is invalid, appends errors, with the locations of the values, to Errors and
// returns null.
ConfigurationPtr checkDocument(const Document &Merged, SettingsErrors &Errors);

// parseDocument() returns the configuration of a merged document. If it is
// invalid, appends errors to Errors and returns null.
ConfigurationPtr parseDocument(const std::string &Text, const std::string &File,
                               SettingsErrors &Errors);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_DOCUMENT_H
