// The difference between two documents in canonical form, entry by entry.
//
//   for (const DocumentChange &Change : diffDocuments(Old, New)) ...
#ifndef CURRANTGAUGE_CONFIG_DIFF_H
#define CURRANTGAUGE_CONFIG_DIFF_H

#include <string>
#include <vector>

namespace currantgauge::config {

// DocumentChange is one entry that differs. An empty side: it is not there.
struct DocumentChange {
  std::string Name; // "services.cutlist"
  std::string Old;
  std::string New;
};

// diffDocuments() returns the entries that differ, in the order of names.
std::vector<DocumentChange> diffDocuments(const std::string &Old,
                                          const std::string &New);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_DIFF_H
