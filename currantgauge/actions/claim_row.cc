#include "currantgauge/actions/claim_row.h"

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>

namespace currantgauge::actions {
namespace {

using nlohmann::json;

constexpr int PrefixDigits = 4;

void appendHex(std::string &Text, std::uint64_t Number, int Count) {
  static constexpr char Digits[] = "0123456789abcdef";
  for (int Digit = Count - 1; Digit >= 0; --Digit)
    Text += Digits[(Number >> (4 * Digit)) & 0xf];
}

// appendPart() appends an escaped part of a key. Parts can't contain the
// separator, so two actions never share a key.
void appendPart(std::string &Text, const std::string &Part) {
  Text += '/';
  for (char Char : Part) {
    bool IsPlain = Char > ' ' && Char < 0x7f && Char != '/' && Char != '%';
    if (IsPlain) {
      Text += Char;
      continue;
    }
    Text += '%';
    appendHex(Text, static_cast<unsigned char>(Char), 2);
  }
}

} // namespace

std::string claimKey(const core::AttemptFacts &Facts) {
  std::string Parts;
  appendPart(Parts, Facts.Workspace.Value);
  appendPart(Parts, Facts.Kind.Value);
  appendPart(Parts, Facts.IdempotencyKey.Value);
  std::string Key;
  appendHex(Key, XXH64(Parts.data(), Parts.size(), 0), PrefixDigits);
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
