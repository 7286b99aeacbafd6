// The manifest of a version in the store: for each part, its hash and the push
// that wrote its object.
//
//   std::optional<StoredManifest> Stored = readStoredManifest(Row, Bytes);
//   const StoredPart &Part = Stored->at("base");
//   std::string Name = getPartObjectName(Part.Origin, Part.Hash);
#ifndef CURRANTGAUGE_CONFIG_STORED_MANIFEST_H
#define CURRANTGAUGE_CONFIG_STORED_MANIFEST_H

#include "currantgauge/config/head_row.h"
#include "currantgauge/config/parts.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace currantgauge::config {

// StoredPart identifies the object of a part.
struct StoredPart {
  base::ContentHash Hash;
  std::string Origin; // getOriginName() of the push that wrote the object
};

using StoredManifest = std::map<std::string, StoredPart>;

// formatStoredManifest() returns a line for each part with its name, its hash
// and its origin.
std::string formatStoredManifest(const StoredManifest &Stored);

// parseStoredManifest() is the inverse of formatStoredManifest(). Returns none
// if Text is malformed.
std::optional<StoredManifest> parseStoredManifest(const std::string &Text);

// readStoredManifest() parses the manifest of the version Row. Returns none if
// Bytes doesn't have the hash that Row records, or is malformed.
std::optional<StoredManifest> readStoredManifest(const HeadRow &Row,
                                                 const std::string &Bytes);

// makeStoredManifest() returns the manifest of a document pushed on top of
// Base. Parts that Base has with the same hash keep their objects, the others
// get objects of the push Origin.
StoredManifest makeStoredManifest(const StoredManifest &Base,
                                  const PartSet &Parts,
                                  const std::string &Origin);

// listObjectNames() returns the names of all objects that a version needs: its
// manifest and its parts.
std::set<std::string> listObjectNames(const HeadRow &Row,
                                      const StoredManifest &Stored);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_STORED_MANIFEST_H
