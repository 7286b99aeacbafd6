#include "currantgauge/http/announce_codec.h"

#include "currantgauge/http/listener.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace currantgauge::http {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t MostSlots = 100000;
constexpr std::uint64_t LongestColdStartMillis = 3600 * 1000;

bool readNumber(const Json &Body, const char *Key, std::uint64_t Most,
                std::uint64_t &Value, std::string &Error) {
  auto Found = Body.find(Key);
  if (Found == Body.end())
    return true;
  if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() > Most) {
    Error = std::string(Key) + " must be a whole number of at most " +
            std::to_string(Most);
    return false;
  }
  Value = Found->get<std::uint64_t>();
  return true;
}

bool readText(const Json &Body, const char *Key, std::string &Value,
              std::string &Error) {
  auto Found = Body.find(Key);
  if (Found == Body.end() || !Found->is_string() ||
      Found->get<std::string>().empty()) {
    Error = std::string(Key) + " must be a text that is not empty";
    return false;
  }
  Value = Found->get<std::string>();
  return true;
}

bool readPhase(const Json &Body, routing::BackendPhase &Phase,
               std::string &Error) {
  std::string State = "ready";
  if (Body.contains("state") && !readText(Body, "state", State, Error))
    return false;
  if (State != "ready" && State != "leaving") {
    Error = "state must be ready or leaving";
    return false;
  }
  Phase = State == "ready" ? routing::BackendPhase::Ready
                           : routing::BackendPhase::Leaving;
  return true;
}

} // namespace

std::optional<routing::Announcement> parseAnnouncement(const std::string &Name,
                                                       const std::string &Text,
                                                       std::string &Error) {
  Json Body = Json::parse(Text, nullptr, false);
  if (!Body.is_object()) {
    Error = "the announcement must be a JSON object";
    return std::nullopt;
  }
  if (Name.empty()) {
    Error = "the path must end in the backend server's name";
    return std::nullopt;
  }
  routing::Announcement Word;
  Word.Name = base::BackendName(Name);
  std::uint64_t Slots = 1, Life = 0, ColdMillis = 0;
  if (!readText(Body, "service", Word.Service.Value, Error) ||
      !readText(Body, "address", Word.Address.Value, Error) ||
      !readNumber(Body, "incarnation", UINT64_MAX, Life, Error) ||
      !readNumber(Body, "slots", MostSlots, Slots, Error) ||
      !readNumber(Body, "cold_start_ms", LongestColdStartMillis, ColdMillis,
                  Error) ||
      !readPhase(Body, Word.Phase, Error))
    return std::nullopt;
  if (!parseEndpoint(Word.Address)) {
    Error = "address must be IP:port";
    return std::nullopt;
  }
  if (Slots == 0) {
    Error = "slots must be at least 1";
    return std::nullopt;
  }
  Word.Incarnation = base::Incarnation(Life);
  Word.Slots = static_cast<std::uint32_t>(Slots);
  Word.ColdStart = base::milliseconds(static_cast<std::int64_t>(ColdMillis));
  return Word;
}

} // namespace currantgauge::http
