#include "currantgauge/actions/claim_row.h"

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>

namespace currantgauge::actions {
namespace {

using nlohmann::json;

constexpr int PrefixDigits = 4;

void appendDigits(std::string &Text, std::uint64_t Number, int Count) {
  static constexpr char Digits[] = "0123456789abcdef";
  for (int Place = Count - 1; Place >= 0; --Place)
    Text += Digits[(Number >> (4 * Place)) & 0xf];
}

// A part can't hold the separator, so two actions never share a key.
void appendPart(std::string &Text, const std::string &Part) {
  Text += '/';
  for (char Letter : Part) {
    bool Plain =
        Letter > ' ' && Letter < 0x7f && Letter != '/' && Letter != '%';
    if (Plain) {
      Text += Letter;
      continue;
    }
    Text += '%';
    appendDigits(Text, static_cast<unsigned char>(Letter), 2);
  }
}

} // namespace

std::string claimKey(const core::AttemptFacts &Facts) {
  std::string Parts;
  appendPart(Parts, Facts.Workspace.Value);
  appendPart(Parts, Facts.Kind.Value);
  appendPart(Parts, Facts.Key.Value);
  std::string Key;
  appendDigits(Key, XXH64(Parts.data(), Parts.size(), 0), PrefixDigits);
  return Key + Parts;
}

std::string encodeRow(const ClaimRow &Row) {
  return json{{"attempt", {Row.Attempt.Origin, Row.Attempt.Sequence}},
              {"node", Row.Holder.Value},
              {"life", Row.Incarnation.Value},
              {"body", Row.Body.Value},
              {"done", Row.Done},
              {"at", Row.WrittenAt.Millis}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ClaimRow> decodeRow(const std::string &Text) {
  json Value = json::parse(Text, nullptr, false);
  try {
    ClaimRow Row;
    Row.Attempt.Origin = Value.at("attempt").at(0);
    Row.Attempt.Sequence = Value.at("attempt").at(1);
    Row.Holder = base::NodeName(Value.at("node"));
    Row.Incarnation = base::Incarnation(Value.at("life"));
    Row.Body = base::BodyHash(Value.at("body"));
    Row.Done = Value.at("done");
    Row.WrittenAt.Millis = Value.at("at");
    return Row;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace currantgauge::actions
