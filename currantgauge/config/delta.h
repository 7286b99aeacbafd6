// Configuration deltas for lagging peers: the parts that changed since their
// version.
//
//   serveDocument(Server, Document);
//   ConfigDelta Delta = deltaSince(Server, HeldVersion);
//   auto Newer = applyDelta(Base, Delta); // at the peer
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

// ConfigDocument is an accepted version: its parts, and the push it came from.
struct ConfigDocument {
  base::ConfigVersion Version;
  base::PushId Push;
  std::string Author;
  base::UnixTime AcceptedAt;
  PartSetPtr Parts; // null before the first version
};

// ConfigDelta turns the document of version Since into a newer one. If Since is
// 0, it holds the whole newer document.
struct ConfigDelta {
  base::ConfigVersion Version;
  base::ConfigVersion Since; // if 0, Changed holds every part
  base::PushId Push;
  std::string Author;
  base::UnixTime AcceptedAt;
  base::ContentHash ManifestHash; // hashManifest() of the result
  std::vector<ConfigPartPtr> Changed;
  std::vector<std::string> Removed;
};

// ConfigStep is a change from one version to a later one.
struct ConfigStep {
  base::ConfigVersion From;
  base::ConfigVersion To;
  std::vector<std::string> PartNames; // changed or removed
};

// ConfigServer is the document that a node serves to its peers, and the recent
// steps that led to it.
struct ConfigServer {
  ConfigDocument Document;
  std::deque<ConfigStep> Steps;
};

// serveDocument() replaces the served document by a newer one. Older ones are
// ignored.
void serveDocument(ConfigServer &Server, const ConfigDocument &Document);

// deltaSince() returns the delta from HeldVersion to the served document. If
// the recorded steps don't reach back to HeldVersion, it holds the whole
// document. It has no parts if that document is not newer.
ConfigDelta deltaSince(const ConfigServer &Server,
                       base::ConfigVersion HeldVersion);

// applyDelta() returns the newer document, none if the delta starts at another
// version than Base or the result's hash is wrong.
std::optional<ConfigDocument> applyDelta(const ConfigDocument &Base,
                                         const ConfigDelta &Delta);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_DELTA_H
