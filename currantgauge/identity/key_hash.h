// Hashes of the keys by which callers are identified, and their text form in
// the configuration.
//
//   base::KeyHash Hash = hashKey("k-7f3a");
//   std::string Text = formatKeyHash(Hash); // "sha256:" and 32 hex digits
#ifndef CURRANTGAUGE_IDENTITY_KEY_HASH_H
#define CURRANTGAUGE_IDENTITY_KEY_HASH_H

#include "currantgauge/base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace currantgauge::identity {

// KeyHashPrefix starts a hash in text form.
constexpr std::string_view KeyHashPrefix = "sha256:";

// hashKey() returns the first 128 bits of the key's SHA-256 hash, and an empty
// hash for an empty key. It may be called on any thread.
base::KeyHash hashKey(std::string_view Key);

// formatKeyHash() returns the text form of a hash.
std::string formatKeyHash(base::KeyHash Hash);

// parseKeyHash() is the inverse of formatKeyHash(). Returns none if Text is
// malformed or the hash is empty.
std::optional<base::KeyHash> parseKeyHash(std::string_view Text);

} // namespace currantgauge::identity

#endif // CURRANTGAUGE_IDENTITY_KEY_HASH_H
