#include "currantgauge/config/head_row.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>

namespace currantgauge::config {
namespace {

constexpr std::size_t KeyDigits = 20; // of the largest 64-bit number

} // namespace

std::string historyKey(base::ConfigVersion Version) {
  std::string Number = std::to_string(UINT64_MAX - Version.Value);
  return HistoryPrefix + std::string(KeyDigits - Number.size(), '0') + Number;
}

std::string partObject(const base::ContentHash &Hash) {
  return "config/part/" + Hash.Value;
}

std::string manifestObject(const base::ContentHash &Hash) {
  return "config/manifest/" + Hash.Value;
}

std::string formatHeadRow(const HeadRow &Row) {
  nlohmann::ordered_json Value = {{"version", Row.Version.Value},
                                  {"push", Row.Push.Value},
                                  {"author", Row.Author},
                                  {"when", Row.When.Millis},
                                  {"manifest", Row.Manifest.Value}};
  return Value.dump(-1, ' ', false,
                    nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<HeadRow> parseHeadRow(const base::StoreRow &Row) {
  try {
    auto Value = nlohmann::json::parse(Row.Value);
    HeadRow Head;
    Head.Version =
        base::ConfigVersion(Value.at("version").get<std::uint64_t>());
    Head.Push = base::PushId(Value.at("push").get<std::string>());
    Head.Author = Value.at("author").get<std::string>();
    Head.When = base::UnixTime{Value.at("when").get<std::int64_t>()};
    Head.Manifest = base::ContentHash(Value.at("manifest").get<std::string>());
    Head.ETag = Row.ETag;
    return Head;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace currantgauge::config
