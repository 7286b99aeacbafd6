#include "currantgauge/http/announce_codec.h"

#include "currantgauge/http/listener.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace currantgauge::http {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t MaxSlots = 100000;
constexpr std::uint64_t MaxColdStartMillis = 3600 * 1000;

// Leaves Value as it is if the key is missing.
bool readNumber(const Json &Body, const char *Key, std::uint64_t Max,
                std::uint64_t &Value, std::string &Error) {
  auto It = Body.find(Key);
  if (It == Body.end())
    return true;
  if (!It->is_number_unsigned() || It->get<std::uint64_t>() > Max) {
    Error = std::string(Key) + " must be a non-negative integer of at most " +
            std::to_string(Max);
    return false;
  }
  Value = It->get<std::uint64_t>();
  return true;
}

// A missing key is an error.
bool readString(const Json &Body, const char *Key, std::string &Value,
                std::string &Error) {
  auto It = Body.find(Key);
  if (It == Body.end() || !It->is_string() || It->get<std::string>().empty()) {
    Error = std::string(Key) + " must be a non-empty string";
    return false;
  }
  Value = It->get<std::string>();
  return true;
}

// A missing "state" means ready.
bool readPhase(const Json &Body, routing::BackendPhase &Phase,
               std::string &Error) {
  std::string State = "ready";
  if (Body.contains("state") && !readString(Body, "state", State, Error))
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
    Error = "the path must end with the name of the backend server";
    return std::nullopt;
  }
  routing::Announcement Announcement;
  Announcement.Name = base::BackendName(Name);
  std::uint64_t Slots = 1, Incarnation = 0, ColdMillis = 0;
  if (!readString(Body, "service", Announcement.Service.Value, Error) ||
      !readString(Body, "address", Announcement.Address.Value, Error) ||
      !readNumber(Body, "incarnation", UINT64_MAX, Incarnation, Error) ||
      !readNumber(Body, "slots", MaxSlots, Slots, Error) ||
      !readNumber(Body, "cold_start_ms", MaxColdStartMillis, ColdMillis,
                  Error) ||
      !readPhase(Body, Announcement.Phase, Error))
    return std::nullopt;
  if (!parseRemoteEndpoint(Announcement.Address)) {
    Error = "address must be IP:port";
    return std::nullopt;
  }
  if (Slots == 0) {
    Error = "slots must be at least 1";
    return std::nullopt;
  }
  Announcement.Incarnation = base::Incarnation(Incarnation);
  Announcement.Slots = static_cast<std::uint32_t>(Slots);
  Announcement.ColdStart =
      base::milliseconds(static_cast<std::int64_t>(ColdMillis));
  return Announcement;
}

} // namespace currantgauge::http
