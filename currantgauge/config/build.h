// From a merged document to the typed configuration, with every check.
//
//   buildConfiguration(Merged, *Config, Errors);
#ifndef CURRANTGAUGE_CONFIG_BUILD_H
#define CURRANTGAUGE_CONFIG_BUILD_H

#include "currantgauge/config/merge.h"
#include "currantgauge/config/model.h"

namespace currantgauge::config {

// buildConfiguration() adds the document's entries to Config and notes values
// that are malformed or out of range, and unknown keys.
void buildConfiguration(const Document &Merged, Configuration &Config,
                        SettingsErrors &Errors);

// checkConfiguration() notes references to what is not there and floors,
// shares and routes that can't hold together. Places are looked up in Merged.
void checkConfiguration(const Document &Merged, const Configuration &Config,
                        SettingsErrors &Errors);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_BUILD_H
