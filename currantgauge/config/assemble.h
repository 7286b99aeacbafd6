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
  ConfigurationPtr BaseConfig;
  bool CheckParts = false;  // that each part holds its own entries alone
  std::string AnnouncedRow; // a row of the feed, in place of Text
};

// AssembledConfig is the result; Error is empty when it is valid.
struct AssembledConfig {
  ConfigurationPtr Config;
  PartSetPtr Parts;
  std::string Error;
  base::ConfigVersion Version; // of Announced alone
};

// AnnouncedConfig is a configuration that the store's change feed brought, in
// this project's form. Error is empty when it could be read.
struct AnnouncedConfig {
  base::ConfigVersion Version;
  std::string Text;
  std::string Error;
};

// AnnouncedConfigReader turns a row of the feed into this project's form.
using AnnouncedConfigReader = AnnouncedConfig (*)(const std::string &Row);

// assembleConfig() parses the parts that differ from BaseParts and checks the
// whole.
AssembledConfig assembleConfig(const AssembleRequest &Request);

// assembleAnnounced() does so for Request.Announced, as read by Read.
AssembledConfig assembleAnnounced(AssembleRequest Request,
                                  AnnouncedConfigReader Reader);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_ASSEMBLE_H
