// Workspaces by the hashes of their keys, in copy-on-write buckets that
// versions of the configuration share: changing a key copies only its bucket.
//
//   insertKey(Table, hashKey("k-7f3a"), base::WorkspaceName("depot"));
//   if (const base::WorkspaceName *Found = findByKey(Table, Hash)) use(*Found);
#ifndef CURRANTGAUGE_IDENTITY_KEY_TABLE_H
#define CURRANTGAUGE_IDENTITY_KEY_TABLE_H

#include "currantgauge/base/ids.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <vector>

namespace currantgauge::identity {
namespace detail {

struct KeyEntry {
  base::KeyHash Hash;
  base::WorkspaceName Workspace;
};

// KeyBucket holds the keys of one bucket, sorted by hash.
struct KeyBucket
    : boost::intrusive_ref_counter<KeyBucket, boost::thread_safe_counter> {
  std::vector<KeyEntry> Entries;
};

} // namespace detail

// KeyTable maps hashes of keys to workspaces. A copy shares each bucket with
// the original until one of the two changes it.
struct KeyTable {
  std::vector<boost::intrusive_ptr<detail::KeyBucket>> Buckets;
};

// findByKey() returns the workspace that holds a key, null if none does.
const base::WorkspaceName *findByKey(const KeyTable &Table, base::KeyHash Hash);

// insertKey() returns false, and changes nothing, if another workspace holds
// the key.
bool insertKey(KeyTable &Table, base::KeyHash Hash,
               const base::WorkspaceName &Workspace);

// eraseKey() removes a key if Workspace holds it.
void eraseKey(KeyTable &Table, base::KeyHash Hash,
              const base::WorkspaceName &Workspace);

// countKeys() returns the number of keys.
std::size_t countKeys(const KeyTable &Table);

} // namespace currantgauge::identity

#endif // CURRANTGAUGE_IDENTITY_KEY_TABLE_H
