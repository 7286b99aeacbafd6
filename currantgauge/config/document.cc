#include "currantgauge/config/document.h"

#include "currantgauge/config/build.h"
#include "currantgauge/config/merge.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace currantgauge::config {

Document mergeDocument(std::vector<ConfigFile> Files, SettingsErrors &Errors) {
  std::sort(
      Files.begin(), Files.end(),
      [](const ConfigFile &A, const ConfigFile &B) { return A.Name < B.Name; });
  Document Merged;
  for (const ConfigFile &File : Files)
    mergeInto(Merged, File.Name, File.Text, Errors);
  return Merged;
}

std::string mergeFiles(std::vector<ConfigFile> Files, SettingsErrors &Errors) {
  return formatDocument(mergeDocument(std::move(Files), Errors));
}

ConfigurationPtr checkDocument(const Document &Merged, SettingsErrors &Errors) {
  std::size_t ErrorsBefore = Errors.size();
  boost::intrusive_ptr<Configuration> Config(new Configuration);
  buildConfiguration(Merged, *Config, Errors);
  checkConfiguration(Merged, *Config, Errors);
  if (Errors.size() != ErrorsBefore)
    return nullptr;
  indexRoutes(*Config);
  return Config;
}

ConfigurationPtr parseDocument(const std::string &Text, const std::string &File,
                               SettingsErrors &Errors) {
  std::size_t ErrorsBefore = Errors.size();
  Document Merged = mergeDocument({{File, Text}}, Errors);
  ConfigurationPtr Config = checkDocument(Merged, Errors);
  return Errors.size() == ErrorsBefore ? Config : nullptr;
}

} // namespace currantgauge::config
