// What a node knows of the fleet's configuration.
//
//   if (!State.Current) refuse(Reason::NoConfiguration);
#ifndef CURRANTGAUGE_CONFIG_STATE_H
#define CURRANTGAUGE_CONFIG_STATE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/config/model.h"

#include <string>

namespace currantgauge::config {

// ConfigDocument is an accepted version as it travels: its text and origin.
struct ConfigDocument {
  base::ConfigVersion Version;
  base::PushId Push;
  std::string Author;
  std::string Text; // the merged YAML document
};

// ConfigState holds the version in force here.
struct ConfigState {
  ConfigDocument Document;
  ConfigurationPtr Current; // null until the first one is in force
};

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_STATE_H
