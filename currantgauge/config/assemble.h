// Builds a version's configuration from its parts, reusing the unchanged parts
// of an earlier version. Large documents take long to build, so the runtime
// does it outside the control thread.
//
//   AssembledConfig Result = assembleConfig(Request);
//   if (!Result.Error.empty()) ...
#ifndef CURRANTGAUGE_CONFIG_ASSEMBLE_H
#define CURRANTGAUGE_CONFIG_ASSEMBLE_H

#include "currantgauge/config/model.h"
#include "currantgauge/config/parts.h"

#include <string>

namespace currantgauge::config {

// AssembleRequest is a version, given as text, parts or announced row, and the
// version to start from.
struct AssembleRequest {
  std::string Text; // if empty, Parts is used
  PartSetPtr Parts;
  PartSetPtr BaseParts; // null: build every part
  ConfigurationPtr BaseConfig;
  bool CheckParts = false;  // reject changed parts not in canonical form
  std::string AnnouncedRow; // from the change feed, for assembleAnnounced()
};

// AssembledConfig is the built configuration. If it is invalid, Error says why
// and Config is null.
struct AssembledConfig {
  ConfigurationPtr Config;
  PartSetPtr Parts;
  std::string Error;
  base::ConfigVersion Version; // set by assembleAnnounced() only
};

// AnnouncedConfig is a configuration from the store's change feed, converted to
// a document of this project. Error is empty if the row could be read.
struct AnnouncedConfig {
  base::ConfigVersion Version;
  std::string Text;
  std::string Error;
};

// AnnouncedConfigReader converts a row of the change feed.
using AnnouncedConfigReader = AnnouncedConfig (*)(const std::string &Row);

// assembleConfig() parses the parts that differ from BaseParts and validates
// the resulting configuration.
AssembledConfig assembleConfig(const AssembleRequest &Request);

// assembleAnnounced() does the same for Request.AnnouncedRow, converted by
// Reader. Returns an error if Reader is empty.
AssembledConfig assembleAnnounced(AssembleRequest Request,
                                  AnnouncedConfigReader Reader);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_ASSEMBLE_H
