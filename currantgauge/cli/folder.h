// Reads files, and folders of configuration files.
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

// readFile() reads a whole file. Returns false and sets Error if that
// fails.
bool readFile(const std::string &Path, std::string &Text, std::string &Error);

// readFolder() reads every .yaml and .yml file directly in a folder. Returns
// false and sets Error if the folder or a file can't be read or there is no
// such file.
bool readFolder(const std::string &Folder,
                std::vector<config::ConfigFile> &Files, std::string &Error);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_FOLDER_H
