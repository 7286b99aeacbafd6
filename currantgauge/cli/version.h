// The version of this build.
//
//   std::cout << VersionText;
#ifndef CURRANTGAUGE_CLI_VERSION_H
#define CURRANTGAUGE_CLI_VERSION_H

#include <string_view>

namespace currantgauge::cli {

// VersionText is the release version; the same as in CMakeLists.txt.
constexpr std::string_view VersionText = "0.1.0";

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_VERSION_H
