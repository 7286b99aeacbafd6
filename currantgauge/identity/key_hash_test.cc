#include "currantgauge/identity/key_hash.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::identity {

TEST_CASE("the hash of a key is the first half of its SHA-256") {
  CHECK(formatKeyHash(hashKey("abc")) ==
        "sha256:ba7816bf8f01cfea414140de5dae2223");
  CHECK(hashKey("abc") != hashKey("abd"));
  CHECK(hashKey("").empty());
}

TEST_CASE("the text form of a hash is read back") {
  base::KeyHash Hash = hashKey("k-7f3a");
  REQUIRE(parseKeyHash(formatKeyHash(Hash)));
  CHECK(*parseKeyHash(formatKeyHash(Hash)) == Hash);
}

TEST_CASE("a malformed hash is rejected") {
  const std::string Digits = "ba7816bf8f01cfea414140de5dae2223";
  CHECK(parseKeyHash("sha256:" + Digits));
  for (const std::string &Text :
       {std::string(), std::string("sha256:"), Digits, "sha256:" + Digits + "0",
        "sha256:" + Digits.substr(1), "sha256:-" + Digits.substr(1),
        "sha256:G" + Digits.substr(1), "SHA256:" + Digits,
        "sha256:" + std::string(32, '0')}) {
    CAPTURE(Text);
    CHECK_FALSE(parseKeyHash(Text));
  }
}

// A key that looks like a hash must not give access to the workspace whose key
// has that hash.
TEST_CASE("a key that has the text form of a hash is hashed like any other") {
  base::KeyHash Hash = hashKey("abc");
  CHECK(hashKey(formatKeyHash(Hash)) != Hash);
}

} // namespace currantgauge::identity
