#include "currantgauge/cli/folder.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace currantgauge::cli {

bool readFile(const std::string &Path, std::string &Text, std::string &Error) {
  std::ifstream File(Path, std::ios::binary);
  std::error_code ErrorCode;
  if (!File || std::filesystem::is_directory(Path, ErrorCode)) {
    Error = "can't read " + Path;
    return false;
  }
  Text.assign(std::istreambuf_iterator<char>(File), {});
  return true;
}

bool readFolder(const std::string &Folder,
                std::vector<config::ConfigFile> &Files, std::string &Error) {
  std::error_code ErrorCode;
  std::filesystem::directory_iterator Entries(Folder, ErrorCode);
  if (ErrorCode) {
    Error = "can't read folder " + Folder + ": " + ErrorCode.message();
    return false;
  }
  for (const auto &Entry : Entries) {
    std::string Extension = Entry.path().extension().string();
    if (Extension != ".yaml" && Extension != ".yml")
      continue;
    config::ConfigFile &File = Files.emplace_back();
    File.Name = Entry.path().filename().string();
    if (!readFile(Entry.path().string(), File.Text, Error))
      return false;
  }
  if (!Files.empty())
    return true;
  Error = "no .yaml or .yml file in folder " + Folder;
  return false;
}

} // namespace currantgauge::cli
