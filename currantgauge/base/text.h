// Case conversion for case-insensitive comparison.
//
//   std::string Host = toLower("Lists.Example"); // "lists.example"
#ifndef CURRANTGAUGE_BASE_TEXT_H
#define CURRANTGAUGE_BASE_TEXT_H

#include <algorithm>
#include <cctype>
#include <string>

namespace currantgauge::base {

// toLower() returns Text with ASCII letters in lower case.
inline std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

} // namespace currantgauge::base

#endif // CURRANTGAUGE_BASE_TEXT_H
