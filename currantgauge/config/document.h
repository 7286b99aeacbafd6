// The configuration's YAML: a folder of small files, merged in the order of
// their names, and the merged document that travels.
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

// ConfigFile is one file of the folder.
struct ConfigFile {
  std::string Name;
  std::string Text;
};

// mergeDocument() returns the document of files, merged in the order of their
// names, with the place each value came from.
Document mergeDocument(std::vector<ConfigFile> Files, SettingsErrors &Errors);

// mergeFiles() returns the text of mergeDocument() in its canonical form.
std::string mergeFiles(std::vector<ConfigFile> Files, SettingsErrors &Errors);

// checkDocument() returns the configuration of a document, null when Errors has
// grown. Mistakes name the files that the values came from.
ConfigurationPtr checkDocument(const Document &Merged, SettingsErrors &Errors);

// parseDocument() returns the configuration of a merged document, null when
// Errors has grown.
ConfigurationPtr parseDocument(const std::string &Text, const std::string &File,
                               SettingsErrors &Errors);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_DOCUMENT_H
