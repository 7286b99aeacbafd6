// Reading files and folders of configuration files.
//
//   std::vector<config::ConfigFile> Files;
//   std::string Error;
//   if (!readFolder("fleet", Files, Error)) ...
#ifndef CURRANTGAUGE_CLI_FOLDER_H
#define CURRANTGAUGE_CLI_FOLDER_H

#include "currantgauge/config/document.h"

#include <string>
#include <vector>

namespace currantgauge::cli {

// readFile() reads a whole file. Returns false and a sentence in Error when it
// can't be read.
bool readFile(const std::string &Path, std::string &Text, std::string &Error);

// readFolder() reads every .yaml and .yml file of a folder, not those below
// it. Returns false and a sentence in Error when one can't be read.
bool readFolder(const std::string &Folder,
                std::vector<config::ConfigFile> &Files, std::string &Error);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_FOLDER_H
