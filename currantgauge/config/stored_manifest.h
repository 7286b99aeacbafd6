// The manifest as the store keeps it: each part's hash and the push that wrote
// its object.
//
//   std::optional<StoredManifest> Stored = parseStoredManifest(Bytes);
//   std::string Name = getPartObjectName(Stored->at("base"));
#ifndef CURRANTGAUGE_CONFIG_STORED_MANIFEST_H
#define CURRANTGAUGE_CONFIG_STORED_MANIFEST_H

#include "currantgauge/config/head_row.h"
#include "currantgauge/config/parts.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace currantgauge::config {

// StoredPart says where a part's object is.
struct StoredPart {
  base::ContentHash Hash;
  std::string Origin; // of the push that wrote it, see getOriginName()
};

using StoredManifest = std::map<std::string, StoredPart>;

// formatStoredManifest() returns a line for each part: its name, hash and
// origin.
std::string formatStoredManifest(const StoredManifest &Stored);

// parseStoredManifest() is the inverse of formatStoredManifest(), none when
// malformed.
std::optional<StoredManifest> parseStoredManifest(const std::string &Text);

// readStoredManifest() returns the manifest of the version Row; none when the
// bytes are not it.
std::optional<StoredManifest> readStoredManifest(const HeadRow &Row,
                                                 const std::string &Bytes);

// makeStoredManifest() returns the manifest of a document pushed on top of
// Base: parts that Base has keep their objects, the others are the push's own.
StoredManifest makeStoredManifest(const StoredManifest &Base,
                                  const PartSet &Parts,
                                  const std::string &Origin);

// listObjectNames() returns the names of all objects that a version needs.
std::set<std::string> listObjectNames(const HeadRow &Row,
                                      const StoredManifest &Stored);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_STORED_MANIFEST_H
