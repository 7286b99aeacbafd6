// Rows of the store that record the accepted versions: the head row for the
// newest, and a history row for each. Registration rows record the pushes,
// accepted or not.
//
//   std::optional<HeadRow> Head = parseHeadRow(Row);
#ifndef CURRANTGAUGE_CONFIG_HEAD_ROW_H
#define CURRANTGAUGE_CONFIG_HEAD_ROW_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/store.h"
#include "currantgauge/base/units.h"

#include <optional>
#include <string>

namespace currantgauge::config {

// ConfigTable holds the head row, the history rows and the registration rows.
constexpr const char *ConfigTable = "config";
constexpr const char *HeadKey = "head";
constexpr const char *HistoryPrefix = "history/";
// A registration row is written before a push's objects and removed after them.
constexpr const char *RegistrationPrefix = "objects/";

// HeadRow is the record of a version, or of a push that may become one. The
// rows of ConfigTable all have this format.
struct HeadRow {
  base::ConfigVersion Version; // 0: no version was accepted yet
  base::PushId Push;
  std::string Author;
  base::UnixTime AcceptedAt;
  base::ContentHash ManifestHash;       // hashManifest() of the document
  std::string ETag;                     // as read; empty: there is no row
  base::ContentHash StoredManifestHash; // of the manifest object's content
};

// getHistoryKey() returns the key of a version's history row. Later versions
// sort first.
std::string getHistoryKey(base::ConfigVersion Version);

// getOriginName() returns a name for one push of one version. It is part of the
// names of the objects that the push writes, so no other push writes them.
std::string getOriginName(base::ConfigVersion Version,
                          const base::PushId &Push);

// getRegistrationKey() returns the key of a push's registration row. Later
// versions sort last.
std::string getRegistrationKey(const HeadRow &Row);

// getPartObjectName() and getManifestObjectName() return the names of a part's
// and a manifest's object.
std::string getPartObjectName(const std::string &Origin,
                              const base::ContentHash &Hash);
std::string getManifestObjectName(const HeadRow &Row);

// formatHeadRow() returns the row's value as JSON.
std::string formatHeadRow(const HeadRow &Row);

// parseHeadRow() is the inverse of formatHeadRow(). Returns none if the row is
// malformed.
std::optional<HeadRow> parseHeadRow(const base::StoreRow &Row);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_HEAD_ROW_H
