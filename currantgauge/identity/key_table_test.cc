#include "currantgauge/identity/key_table.h"

#include "currantgauge/identity/key_hash.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

namespace currantgauge::identity {
namespace {

const base::WorkspaceName Depot("depot");
const base::WorkspaceName Yard("yard");

KeyTable makeTable(int Keys) {
  KeyTable Table;
  for (int Key = 0; Key < Keys; ++Key)
    insertKey(Table, hashKey("key-" + std::to_string(Key)),
              base::WorkspaceName("w" + std::to_string(Key / 2)));
  return Table;
}

std::size_t countSharedBuckets(const KeyTable &A, const KeyTable &B) {
  std::size_t Shared = 0;
  for (std::size_t Index = 0; Index < A.Buckets.size(); ++Index)
    Shared += A.Buckets[Index] == B.Buckets[Index] ? 1 : 0;
  return Shared;
}

} // namespace

TEST_CASE("a key is found with its workspace") {
  KeyTable Table = makeTable(20000);
  CHECK(countKeys(Table) == 20000);
  for (int Key = 0; Key < 20000; ++Key) {
    const base::WorkspaceName *Found =
        findByKey(Table, hashKey("key-" + std::to_string(Key)));
    REQUIRE(Found);
    CHECK(Found->Value == "w" + std::to_string(Key / 2));
  }
  CHECK_FALSE(findByKey(Table, hashKey("key-20000")));
}

TEST_CASE("an empty table and an empty hash hold nothing") {
  KeyTable Table;
  CHECK_FALSE(findByKey(Table, hashKey("a")));
  CHECK_FALSE(findByKey(Table, base::KeyHash()));
  CHECK(countKeys(Table) == 0);
}

TEST_CASE("a key belongs to one workspace") {
  KeyTable Table;
  CHECK(insertKey(Table, hashKey("a"), Depot));
  CHECK(insertKey(Table, hashKey("a"), Depot));
  CHECK_FALSE(insertKey(Table, hashKey("a"), Yard));
  eraseKey(Table, hashKey("a"), Yard);
  REQUIRE(findByKey(Table, hashKey("a")));
  CHECK(*findByKey(Table, hashKey("a")) == Depot);
  eraseKey(Table, hashKey("a"), Depot);
  CHECK_FALSE(findByKey(Table, hashKey("a")));
}

TEST_CASE("a copy shares all buckets but those that changed") {
  KeyTable Old = makeTable(20000);
  KeyTable New = Old;
  CHECK(countSharedBuckets(Old, New) == Old.Buckets.size());
  eraseKey(New, hashKey("key-7"), base::WorkspaceName("w3"));
  CHECK(countSharedBuckets(Old, New) == Old.Buckets.size() - 1);
  CHECK(findByKey(Old, hashKey("key-7")));
  CHECK_FALSE(findByKey(New, hashKey("key-7")));
  // Repeating a change copies nothing more.
  eraseKey(New, hashKey("key-7"), base::WorkspaceName("w3"));
  CHECK(insertKey(New, hashKey("key-8"), base::WorkspaceName("w4")));
  CHECK(countSharedBuckets(Old, New) == Old.Buckets.size() - 1);
}

} // namespace currantgauge::identity
