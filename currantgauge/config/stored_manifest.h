// The manifest as the store keeps it: each part's hash and the push that wrote
// its object.
//
//   std::optional<StoredManifest> Stored = parseStored(Bytes);
//   std::string Name = partObject(Stored->at("base"));
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
  std::string Origin; // of the push that wrote it, see originOf()
};

using StoredManifest = std::map<std::string, StoredPart>;

// formatStored() returns a line for each part: its name, hash and origin.
std::string formatStored(const StoredManifest &Stored);

// parseStored() is the inverse of formatStored(), none when malformed.
std::optional<StoredManifest> parseStored(const std::string &Text);

// readStored() returns the manifest of the version Row; none when the bytes
// are not it.
std::optional<StoredManifest> readStored(const HeadRow &Row,
                                         const std::string &Bytes);

// storeAfter() returns the manifest of a document pushed on top of Base: parts
// that Base has keep their objects, the others are the push's own.
StoredManifest storeAfter(const StoredManifest &Base, const PartSet &Parts,
                          const std::string &Origin);

// objectsOf() returns the names of all objects that a version needs.
std::set<std::string> objectsOf(const HeadRow &Row,
                                const StoredManifest &Stored);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_STORED_MANIFEST_H
