// A document in parts by content hash, so that only what changed travels: one
// part for ranks, services, kinds and fleet, and buckets of routes and
// workspaces by their names' hashes.
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

// RouteBuckets and WorkspaceBuckets are the numbers of parts. Every node must
// agree on them.
constexpr std::uint32_t RouteBuckets = 256;
constexpr std::uint32_t WorkspaceBuckets = 2048;

// BasePart is the name of the part that is in no bucket.
constexpr std::string_view BasePart = "base";

// ConfigPart is one part of a document: a small YAML document of its own.
struct ConfigPart
    : boost::intrusive_ref_counter<ConfigPart, boost::thread_safe_counter> {
  std::string Name; // "base", "routes/1f", "workspaces/7a0"
  base::ContentHash Hash;
  std::string Text;
};

using ConfigPartPtr = boost::intrusive_ptr<const ConfigPart>;

// PartSet is a whole document: its parts by name.
struct PartSet
    : boost::intrusive_ref_counter<PartSet, boost::thread_safe_counter> {
  std::map<std::string, ConfigPartPtr> Parts;
};

using PartSetPtr = boost::intrusive_ptr<const PartSet>;

// Manifest is the hash of each part by name.
using Manifest = std::map<std::string, base::ContentHash>;

// makePart() returns a part with its hash.
ConfigPartPtr makePart(std::string Name, std::string Text);

// getWorkspaceBucket() returns the bucket of a workspace, below
// WorkspaceBuckets.
std::uint32_t getWorkspaceBucket(std::string_view Name);

// getWorkspacePartName() returns the name of a bucket's part.
std::string getWorkspacePartName(std::uint32_t Bucket);

// splitDocument() cuts a canonical document into its parts. Null when Text is
// not in canonical form.
PartSetPtr splitDocument(const std::string &Text);

// joinParts() is the inverse of splitDocument().
std::string joinParts(const PartSet &Document);

// findChangedParts() returns the names of parts that differ, those that are
// gone included.
std::vector<std::string> findChangedParts(const PartSet &Old,
                                          const PartSet &New);

// makeManifest() returns the hashes of a document's parts.
Manifest makeManifest(const PartSet &Document);

// formatManifest() returns a line for each part: its name and its hash.
std::string formatManifest(const Manifest &Manifest);

// hashContent() returns the first 128 bits of SHA-256 in hexadecimal.
base::ContentHash hashContent(std::string_view Text);

// hashManifest() identifies a whole document.
base::ContentHash hashManifest(const PartSet &Document);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PARTS_H
