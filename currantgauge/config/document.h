// The configuration's YAML: a folder of small files, merged in the order of
// their names, and the merged document that travels.
//
//   SettingsErrors Errors;
//   std::string Merged = mergeFiles(Files, Errors);
//   ConfigurationPtr Config = parseDocument(Merged, "merged", Errors);
#ifndef CURRANTGAUGE_CONFIG_DOCUMENT_H
#define CURRANTGAUGE_CONFIG_DOCUMENT_H

#include "currantgauge/config/model.h"
#include "currantgauge/config/node_settings.h"

#include <string>
#include <vector>

namespace currantgauge::config {

// ConfigFile is one file of the folder.
struct ConfigFile {
  std::string Name;
  std::string Text;
};

// mergeFiles() returns the merged document of files sorted by name.
std::string mergeFiles(std::vector<ConfigFile> Files, SettingsErrors &Errors);

// parseDocument() returns the configuration of a merged document, null when
// Errors has grown.
ConfigurationPtr parseDocument(const std::string &Text, const std::string &File,
                               SettingsErrors &Errors);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_DOCUMENT_H
