// A stand-in for the platform's store: rows in tables with one version counter,
// transactions and the change feed. It keeps the whole history.
//
//   Store Platform;
//   startStore(Platform);
//   writeConfig(Platform, "r1", {"orders"}, {{"a", route}});
#ifndef REVIEW_LAB_2_STORE_H
#define REVIEW_LAB_2_STORE_H

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

using RowName = std::pair<std::string, std::string>; // table and key

// StoreRow is the value of a row, in base64, and its version.
struct StoreRow {
  std::string Value;
  std::uint64_t Version = 0;
};

struct StoreChange {
  RowName Name;
  std::uint64_t Version = 0;
};

// Store is shared by the threads that serve it; Lock guards all members but
// Address.
struct Store {
  std::string Address;
  std::mutex Lock;
  std::condition_variable Changed;
  std::map<RowName, StoreRow> Rows;
  std::vector<StoreChange> Changes;
  std::uint64_t Version = 0;
};

void startStore(Store &Platform);

// makeRoute() returns a route of the operator's configuration.
nlohmann::json makeRoute(const std::string &Prefix, const std::string &Service,
                         const std::string &Kind, int TimeoutMillis);

// writeConfig() writes the operator's configuration.
void writeConfig(Store &Platform, const std::string &Version,
                 const std::vector<std::string> &Services,
                 const nlohmann::json &Routes);

} // namespace review

#endif // REVIEW_LAB_2_STORE_H
