// From the parts of a version to its configuration, reusing what an earlier
// version has in common with it. It may take long at the largest size, so the
// runtime runs it apart from the control thread.
//
//   AssembledConfig Result = assembleConfig(Request);
//   if (!Result.Error.empty()) ...
#ifndef CURRANTGAUGE_CONFIG_ASSEMBLE_H
#define CURRANTGAUGE_CONFIG_ASSEMBLE_H

#include "currantgauge/config/model.h"
#include "currantgauge/config/parts.h"

#include <string>

namespace currantgauge::config {

// AssembleRequest is a version as a text or as parts, and one to start from.
struct AssembleRequest {
  std::string Text; // empty: Parts counts
  PartSetPtr Parts;
  PartSetPtr BaseParts; // null: start from nothing
  ConfigurationPtr Base;
  bool CheckParts = false; // that each part holds its own entries alone
};

// AssembledConfig is the result; Error is empty when it is valid.
struct AssembledConfig {
  ConfigurationPtr Config;
  PartSetPtr Parts;
  std::string Error;
};

// assembleConfig() parses the parts that differ from BaseParts and checks the
// whole.
AssembledConfig assembleConfig(const AssembleRequest &Request);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_ASSEMBLE_H
