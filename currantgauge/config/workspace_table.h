// Workspaces by name, in copy-on-write buckets that versions of the
// configuration share: changing a workspace copies only its bucket.
//
//   if (const auto *Entry = Table.find(Name)) use(Entry->second);
#ifndef CURRANTGAUGE_CONFIG_WORKSPACE_TABLE_H
#define CURRANTGAUGE_CONFIG_WORKSPACE_TABLE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace currantgauge::config {

// WorkspaceSettings is a customer's workspace and its limits.
struct WorkspaceSettings {
  base::WorkspaceName Name;
  base::PerSecond Limit; // requests at each node; zero: unlimited
  double Burst = 0;      // requests; zero: as many as Limit permits in a second
  double Weight = 1;     // in fair queueing
  // Requests at all nodes together; zero: unlimited.
  base::PerSecond FleetLimit;
  double FleetBurst = 0;           // requests; zero: as many as in a second
  base::RankName Rank;             // of its requests; empty: their kind's
  std::vector<base::KeyHash> Keys; // of its callers
};

namespace detail {

// WorkspaceHashBucket holds the workspaces whose names hash to one bucket of
// the table. Copies of the table share it until one of them changes it.
struct WorkspaceHashBucket
    : boost::intrusive_ref_counter<WorkspaceHashBucket,
                                   boost::thread_safe_counter> {
  std::map<base::WorkspaceName, WorkspaceSettings> Entries;
};

} // namespace detail

// WorkspaceTable maps names to settings. A copy shares each bucket with the
// original until one of the two changes it.
struct WorkspaceTable {
  using Entry = std::pair<const base::WorkspaceName, WorkspaceSettings>;

  std::vector<boost::intrusive_ptr<detail::WorkspaceHashBucket>> Buckets;

  // find() returns the entry of a workspace, end() if there is none.
  const Entry *find(const base::WorkspaceName &Name) const;
  // end() returns null.
  const Entry *end() const { return nullptr; }
  bool contains(const base::WorkspaceName &Name) const {
    return this->find(Name) != nullptr;
  }
  std::size_t size() const;
  // operator[] inserts an entry if there is none. It and erase() copy a bucket
  // that another table shares.
  WorkspaceSettings &operator[](const base::WorkspaceName &Name);
  void erase(const base::WorkspaceName &Name);
};

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_WORKSPACE_TABLE_H
