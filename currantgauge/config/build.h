// Converts a merged document into the typed configuration and validates it.
//
//   buildConfiguration(Merged, *Config, Errors);
//   checkConfiguration(Merged, *Config, Errors);
#ifndef CURRANTGAUGE_CONFIG_BUILD_H
#define CURRANTGAUGE_CONFIG_BUILD_H

#include "currantgauge/config/merge.h"
#include "currantgauge/config/model.h"

namespace currantgauge::config {

// buildConfiguration() adds the document's entries to Config. Appends errors
// for missing and unknown keys and for values that are malformed or out of
// range.
void buildConfiguration(const Document &Merged, Configuration &Config,
                        SettingsErrors &Errors);

// checkConfiguration() validates the entries of Config against each other.
// Appends errors for references to missing entries, for conflicting ranks and
// routes and for kinds without a deadline. Their locations are taken from
// Merged; errors in an entry that it lacks have none.
void checkConfiguration(const Document &Merged, const Configuration &Config,
                        SettingsErrors &Errors);

// checkWorkspaceRanks() appends an error for each workspace of Merged whose
// rank Config doesn't have.
void checkWorkspaceRanks(const Document &Merged, const Configuration &Config,
                         SettingsErrors &Errors);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_BUILD_H
