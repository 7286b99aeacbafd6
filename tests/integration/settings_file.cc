#include "tests/integration/settings_file.h"

#include <fstream>
#include <sstream>

namespace currantgauge::integration {

void removeFirstStart(const std::string &SettingsPath) {
  const std::string Line = "first_start: true\n";
  std::ostringstream Text;
  Text << std::ifstream(SettingsPath).rdbuf();
  std::string Settings = Text.str();
  std::size_t Start = Settings.find(Line);
  if (Start != std::string::npos)
    std::ofstream(SettingsPath) << Settings.erase(Start, Line.size());
}

} // namespace currantgauge::integration
