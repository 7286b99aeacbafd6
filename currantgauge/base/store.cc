#include "currantgauge/base/store.h"

namespace currantgauge::base {
namespace {

struct OperationNamer {
  std::string_view operator()(const ReadRow &) const { return "read_row"; }
  std::string_view operator()(const ScanRows &) const { return "scan_rows"; }
  std::string_view operator()(const WriteRows &) const { return "write_rows"; }
  std::string_view operator()(const GetObject &) const { return "get_object"; }
  std::string_view operator()(const PutObject &) const { return "put_object"; }
  std::string_view operator()(const DeleteObject &) const {
    return "delete_object";
  }
  std::string_view operator()(const WatchRows &) const { return "watch_rows"; }
};

} // namespace

std::string_view operationName(const StoreOperation &Operation) {
  return std::visit(OperationNamer{}, Operation);
}

std::string_view statusName(StoreStatus Status) {
  switch (Status) {
  case StoreStatus::Done:
    return "done";
  case StoreStatus::NotFound:
    return "not_found";
  case StoreStatus::ConditionFailed:
    return "condition_failed";
  case StoreStatus::HistoryLost:
    return "history_lost";
  case StoreStatus::Unavailable:
    return "unavailable";
  case StoreStatus::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace currantgauge::base
