// Splits a document into parts with content hashes, so that only changed parts
// are transferred: one part for ranks, services, kinds and fleet, and the
// routes and the workspaces in buckets by the hashes of their names.
//
//   PartSetPtr Parts = splitDocument(Text);
//   for (const std::string &Name : findChangedParts(*Old, *Parts)) ...
#ifndef CURRANTGAUGE_CONFIG_PARTS_H
#define CURRANTGAUGE_CONFIG_PARTS_H

#include "currantgauge/base/ids.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantgauge::config {

// RouteBuckets and WorkspaceBuckets are the numbers of buckets. They must be
// the same at every node.
constexpr std::uint32_t RouteBuckets = 256;
constexpr std::uint32_t WorkspaceBuckets = 2048;

// BasePart is the name of the part that is not a bucket.
constexpr std::string_view BasePart = "base";

// ConfigPart is one part of a document, itself a small YAML document.
struct ConfigPart
    : boost::intrusive_ref_counter<ConfigPart, boost::thread_safe_counter> {
  std::string Name; // "base", "routes/1f", "workspaces/7a0"
  base::ContentHash Hash;
  std::string Text;
};

using ConfigPartPtr = boost::intrusive_ptr<const ConfigPart>;

// PartSet is a document: its parts by name.
struct PartSet
    : boost::intrusive_ref_counter<PartSet, boost::thread_safe_counter> {
  std::map<std::string, ConfigPartPtr> Parts;
};

using PartSetPtr = boost::intrusive_ptr<const PartSet>;

// Manifest maps the names of parts to their hashes.
using Manifest = std::map<std::string, base::ContentHash>;

// makePart() returns a part with its hash.
ConfigPartPtr makePart(std::string Name, std::string Text);

// getWorkspaceBucket() returns the bucket of a workspace, below
// WorkspaceBuckets.
std::uint32_t getWorkspaceBucket(std::string_view Name);

// getWorkspacePartName() returns the name of a bucket's part.
std::string getWorkspacePartName(std::uint32_t Bucket);

// splitDocument() splits a document into its parts. Returns null if a line of
// Text is neither a section nor an entry in canonical form; their order is not
// checked.
PartSetPtr splitDocument(const std::string &Text);

// joinParts() is the inverse of splitDocument() for text in canonical form.
std::string joinParts(const PartSet &Document);

// findChangedParts() returns the names of the parts that differ or are in only
// one of the two documents.
std::vector<std::string> findChangedParts(const PartSet &Old,
                                          const PartSet &New);

// makeManifest() returns the hashes of a document's parts.
Manifest makeManifest(const PartSet &Document);

// formatManifest() returns a line for each part with its name and its hash.
std::string formatManifest(const Manifest &Manifest);

// hashContent() returns the first 128 bits of Text's SHA-256 hash, in hex.
base::ContentHash hashContent(std::string_view Text);

// hashManifest() returns the hash of a document's manifest. It identifies the
// document.
base::ContentHash hashManifest(const PartSet &Document);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PARTS_H
