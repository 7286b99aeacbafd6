#include "currantgauge/config/workspace_table.h"

#include "currantgauge/config/parts.h"

namespace currantgauge::config {
namespace {

// getExclusiveBucket() returns the bucket of a workspace, copied first if
// another table shares it.
detail::WorkspaceHashBucket &
getExclusiveBucket(WorkspaceTable &Table, const base::WorkspaceName &Name) {
  Table.Buckets.resize(WorkspaceBuckets);
  auto &Bucket = Table.Buckets[getWorkspaceBucket(Name.Value)];
  if (!Bucket)
    Bucket.reset(new detail::WorkspaceHashBucket);
  else if (Bucket->use_count() > 1)
    Bucket.reset(new detail::WorkspaceHashBucket(*Bucket));
  return *Bucket;
}

} // namespace

const WorkspaceTable::Entry *
WorkspaceTable::find(const base::WorkspaceName &Name) const {
  if (this->Buckets.empty())
    return nullptr;
  const auto &Bucket = this->Buckets[getWorkspaceBucket(Name.Value)];
  if (!Bucket)
    return nullptr;
  auto It = Bucket->Entries.find(Name);
  return It == Bucket->Entries.end() ? nullptr : &*It;
}

std::size_t WorkspaceTable::size() const {
  std::size_t Count = 0;
  for (const auto &Bucket : this->Buckets)
    Count += Bucket ? Bucket->Entries.size() : 0;
  return Count;
}

WorkspaceSettings &WorkspaceTable::operator[](const base::WorkspaceName &Name) {
  return getExclusiveBucket(*this, Name).Entries[Name];
}

void WorkspaceTable::erase(const base::WorkspaceName &Name) {
  if (this->contains(Name))
    getExclusiveBucket(*this, Name).Entries.erase(Name);
}

} // namespace currantgauge::config
