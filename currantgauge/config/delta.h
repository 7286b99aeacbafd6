// What a peer that lags is given: the parts that changed since its version.
//
//   serveDocument(Server, Document);
//   ConfigDelta Delta = deltaSince(Server, Have);
//   ConfigDocument Mine = applyDelta(Held, Delta); // at the other node
#ifndef CURRANTGAUGE_CONFIG_DELTA_H
#define CURRANTGAUGE_CONFIG_DELTA_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/parts.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace currantgauge::config {

// ConfigDocument is an accepted version and its origin.
struct ConfigDocument {
  base::ConfigVersion Version;
  base::PushId Push;
  std::string Author;
  base::UnixTime When;
  PartSetPtr Parts; // null before the first version
};

// ConfigDelta turns a document of version Since, or of none, into a newer one.
struct ConfigDelta {
  base::ConfigVersion Version;
  base::ConfigVersion Since; // 0: Changed holds every part
  base::PushId Push;
  std::string Author;
  base::UnixTime When;
  base::ContentHash Whole; // hashManifest() of the result
  std::vector<ConfigPartPtr> Changed;
  std::vector<std::string> Removed;
};

// ConfigStep is a change from one version to a later one.
struct ConfigStep {
  base::ConfigVersion From;
  base::ConfigVersion To;
  std::vector<std::string> PartNames; // of parts that changed or went
};

// ConfigServer is a document and the steps that led to it.
struct ConfigServer {
  ConfigDocument Document;
  std::deque<ConfigStep> Steps;
};

// serveDocument() makes a newer document the served one; others are ignored.
void serveDocument(ConfigServer &Server, const ConfigDocument &Document);

// deltaSince() returns the way from version Have to the served document; a
// delta without parts when that is not newer.
ConfigDelta deltaSince(const ConfigServer &Server,
                       base::ConfigVersion HeldVersion);

// applyDelta() returns the newer document; none when the delta does not fit
// Held or its hash is wrong.
std::optional<ConfigDocument> applyDelta(const ConfigDocument &Base,
                                         const ConfigDelta &Delta);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_DELTA_H
