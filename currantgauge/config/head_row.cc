#include "currantgauge/config/head_row.h"

#include "currantgauge/config/parts.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>

namespace currantgauge::config {
namespace {

constexpr std::size_t KeyDigits = 20; // length of the largest 64-bit number

constexpr std::size_t OriginDigits = 16; // taken from the hash of the push id

std::string padNumber(std::uint64_t Number) {
  std::string Text = std::to_string(Number);
  return std::string(KeyDigits - Text.size(), '0') + Text;
}

} // namespace

std::string getHistoryKey(base::ConfigVersion Version) {
  return HistoryPrefix + padNumber(UINT64_MAX - Version.Value);
}

std::string getOriginName(base::ConfigVersion Version,
                          const base::PushId &Push) {
  return std::to_string(Version.Value) + "-" +
         hashContent(Push.Value).Value.substr(0, OriginDigits);
}

std::string getRegistrationKey(const HeadRow &Row) {
  return RegistrationPrefix + padNumber(Row.Version.Value) + "/" +
         getOriginName(Row.Version, Row.Push) + "/" +
         Row.StoredManifestHash.Value;
}

std::string getPartObjectName(const std::string &Origin,
                              const base::ContentHash &Hash) {
  return "config/part/" + Origin + "/" + Hash.Value;
}

std::string getManifestObjectName(const HeadRow &Row) {
  return "config/manifest/" + getOriginName(Row.Version, Row.Push) + "/" +
         Row.StoredManifestHash.Value;
}

std::string formatHeadRow(const HeadRow &Row) {
  nlohmann::ordered_json Value = {{"version", Row.Version.Value},
                                  {"push", Row.Push.Value},
                                  {"author", Row.Author},
                                  {"when", Row.AcceptedAt.Millis},
                                  {"manifest", Row.ManifestHash.Value},
                                  {"stored", Row.StoredManifestHash.Value}};
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
    Head.AcceptedAt = base::UnixTime{Value.at("when").get<std::int64_t>()};
    Head.ManifestHash =
        base::ContentHash(Value.at("manifest").get<std::string>());
    Head.StoredManifestHash =
        base::ContentHash(Value.at("stored").get<std::string>());
    Head.ETag = Row.ETag;
    return Head;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace currantgauge::config
