// The rows that say which version is accepted, and which were.
//
//   std::optional<HeadRow> Head = parseHeadRow(Row.Value, Row.ETag);
#ifndef CURRANTGAUGE_CONFIG_HEAD_ROW_H
#define CURRANTGAUGE_CONFIG_HEAD_ROW_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/store.h"
#include "currantgauge/base/units.h"

#include <optional>
#include <string>

namespace currantgauge::config {

// ConfigTable holds the head row and a row for each accepted version.
constexpr const char *ConfigTable = "config";
constexpr const char *HeadKey = "head";
constexpr const char *HistoryPrefix = "history/";
// A row under RegistrationPrefix is written before a push's objects and removed
// after them.
constexpr const char *RegistrationPrefix = "objects/";

// HeadRow is an accepted version as the store keeps it.
struct HeadRow {
  base::ConfigVersion Version; // 0: none was accepted yet
  base::PushId Push;
  std::string Author;
  base::UnixTime When;
  base::ContentHash ManifestHash;
  std::string ETag; // as read; empty when there is no row
  base::ContentHash
      StoredManifestHash; // of the manifest object, see StoredManifest
};

// getHistoryKey() returns a version's key; later versions sort first.
std::string getHistoryKey(base::ConfigVersion Version);

// getOriginName() names one push of one version: objects that it writes bear
// this name, and no other push ever writes them.
std::string getOriginName(base::ConfigVersion Version,
                          const base::PushId &Push);

// getRegistrationKey() returns the key of a push's row under
// RegistrationPrefix; later versions sort last.
std::string getRegistrationKey(const HeadRow &Row);

// getPartObjectName() and getManifestObjectName() return the names of objects.
std::string getPartObjectName(const std::string &Origin,
                              const base::ContentHash &Hash);
std::string getManifestObjectName(const HeadRow &Row);

// formatHeadRow() returns the row's value.
std::string formatHeadRow(const HeadRow &Row);

// parseHeadRow() is the inverse of formatHeadRow(), none when malformed.
std::optional<HeadRow> parseHeadRow(const base::StoreRow &Row);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_HEAD_ROW_H
