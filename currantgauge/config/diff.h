// Finds the entries that differ between two documents in canonical form.
//
//   for (const DocumentChange &Change : diffDocuments(Old, New)) ...
#ifndef CURRANTGAUGE_CONFIG_DIFF_H
#define CURRANTGAUGE_CONFIG_DIFF_H

#include <string>
#include <vector>

namespace currantgauge::config {

// DocumentChange is an entry that differs.
struct DocumentChange {
  std::string Name; // such as "services.cutlist"
  std::string Old;  // empty: added
  std::string New;  // empty: removed
};

// diffDocuments() returns the added and changed entries, sorted by name, and
// then the removed ones.
std::vector<DocumentChange> diffDocuments(const std::string &Old,
                                          const std::string &New);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_DIFF_H
