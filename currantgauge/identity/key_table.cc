#include "currantgauge/identity/key_table.h"

#include <algorithm>

namespace currantgauge::identity {
namespace {

// A new version copies the buckets of changed keys and one pointer per bucket;
// with 480,000 keys, each of these is a few KiB.
constexpr std::size_t KeyBuckets = 4096;

using Entries = std::vector<detail::KeyEntry>;

std::size_t getBucketIndex(base::KeyHash Hash) {
  return Hash.High % KeyBuckets;
}

Entries::iterator findPosition(Entries &Sorted, base::KeyHash Hash) {
  return std::lower_bound(Sorted.begin(), Sorted.end(), Hash,
                          [](const detail::KeyEntry &Entry, base::KeyHash Key) {
                            return Entry.Hash < Key;
                          });
}

// Returns the bucket of a key, copied first if another table shares it.
Entries &getExclusiveBucket(KeyTable &Table, base::KeyHash Hash) {
  Table.Buckets.resize(KeyBuckets);
  auto &Bucket = Table.Buckets[getBucketIndex(Hash)];
  if (!Bucket)
    Bucket.reset(new detail::KeyBucket);
  else if (Bucket->use_count() > 1)
    Bucket.reset(new detail::KeyBucket(*Bucket));
  return Bucket->Entries;
}

} // namespace

const base::WorkspaceName *findByKey(const KeyTable &Table,
                                     base::KeyHash Hash) {
  if (Table.Buckets.empty())
    return nullptr;
  const auto &Bucket = Table.Buckets[getBucketIndex(Hash)];
  if (!Bucket)
    return nullptr;
  auto It = findPosition(Bucket->Entries, Hash);
  return It != Bucket->Entries.end() && It->Hash == Hash ? &It->Workspace
                                                         : nullptr;
}

bool insertKey(KeyTable &Table, base::KeyHash Hash,
               const base::WorkspaceName &Workspace) {
  if (const base::WorkspaceName *Holder = findByKey(Table, Hash))
    return *Holder == Workspace;
  Entries &Bucket = getExclusiveBucket(Table, Hash);
  Bucket.insert(findPosition(Bucket, Hash), {Hash, Workspace});
  return true;
}

void eraseKey(KeyTable &Table, base::KeyHash Hash,
              const base::WorkspaceName &Workspace) {
  const base::WorkspaceName *Holder = findByKey(Table, Hash);
  if (!Holder || *Holder != Workspace)
    return;
  Entries &Bucket = getExclusiveBucket(Table, Hash);
  Bucket.erase(findPosition(Bucket, Hash));
}

std::size_t countKeys(const KeyTable &Table) {
  std::size_t Count = 0;
  for (const auto &Bucket : Table.Buckets)
    Count += Bucket ? Bucket->Entries.size() : 0;
  return Count;
}

} // namespace currantgauge::identity
