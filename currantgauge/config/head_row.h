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

// HeadRow is an accepted version as the store keeps it.
struct HeadRow {
  base::ConfigVersion Version; // 0: none was accepted yet
  base::PushId Push;
  std::string Author;
  base::UnixTime When;
  base::ContentHash Manifest;
  std::string ETag; // as read; empty when there is no row
};

// historyKey() returns a version's key; later versions sort first.
std::string historyKey(base::ConfigVersion Version);

// partObject() and manifestObject() return the names of objects.
std::string partObject(const base::ContentHash &Hash);
std::string manifestObject(const base::ContentHash &Hash);

// formatHeadRow() returns the row's value.
std::string formatHeadRow(const HeadRow &Row);

// parseHeadRow() is the inverse of formatHeadRow(), none when malformed.
std::optional<HeadRow> parseHeadRow(const base::StoreRow &Row);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_HEAD_ROW_H
