#include "currantgauge/actions/action_id.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <string_view>

namespace currantgauge::actions {
namespace {

constexpr std::string_view FormatVersion = "1";
constexpr std::size_t MacBytes = 16; // truncated from the 32 of HMAC-SHA256
constexpr std::size_t TokenLimit = 512;

std::string toHex(std::uint64_t Number) {
  std::array<char, 16> Digits;
  auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Number, 16);
  return std::string(Digits.data(), End.ptr);
}

std::optional<std::uint64_t> fromHex(std::string_view Text) {
  std::uint64_t Number = 0;
  auto End =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number, 16);
  if (End.ec != std::errc() || End.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

std::string macOf(std::string_view Text, const std::string &Secret) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Mac.data(), &Size);
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Hex;
  for (std::size_t Index = 0; Index < MacBytes; ++Index) {
    Hex += Digits[Mac[Index] >> 4];
    Hex += Digits[Mac[Index] & 0xf];
  }
  return Hex;
}

// splitPart() removes and returns the text up to the next dot.
std::string_view splitPart(std::string_view &Text) {
  std::size_t Dot = Text.find('.');
  std::string_view Part = Text.substr(0, Dot);
  Text.remove_prefix(Dot == std::string_view::npos ? Text.size() : Dot + 1);
  return Part;
}

std::optional<ActionId> parse(std::string_view Text) {
  if (splitPart(Text) != FormatVersion)
    return std::nullopt;
  auto Incarnation = fromHex(splitPart(Text));
  auto Sequence = fromHex(splitPart(Text));
  auto Expires = fromHex(splitPart(Text));
  if (!Incarnation || !Sequence || !Expires || Text.empty())
    return std::nullopt;
  return ActionId{base::NodeName(std::string(Text)),
                  base::Incarnation(*Incarnation), *Sequence,
                  base::TimePoint{static_cast<std::int64_t>(*Expires)}};
}

} // namespace

base::ActionToken signActionId(const ActionId &Id, const std::string &Secret) {
  std::string Text = std::string(FormatVersion) + '.' +
                     toHex(Id.Incarnation.Value) + '.' + toHex(Id.Sequence) +
                     '.' +
                     toHex(static_cast<std::uint64_t>(Id.Expires.Micros)) +
                     '.' + Id.Issuer.Value;
  return base::ActionToken(Text + '.' + macOf(Text, Secret));
}

std::optional<ActionId> verifyActionId(const base::ActionToken &Token,
                                       const std::string &Secret) {
  std::string_view Text = Token.Value;
  std::size_t Dot = Text.rfind('.');
  if (Secret.empty() || Text.size() > TokenLimit ||
      Dot == std::string_view::npos)
    return std::nullopt;
  std::string Expected = macOf(Text.substr(0, Dot), Secret);
  std::string_view Mac = Text.substr(Dot + 1);
  if (Mac.size() != Expected.size() ||
      CRYPTO_memcmp(Mac.data(), Expected.data(), Mac.size()) != 0)
    return std::nullopt;
  return parse(Text.substr(0, Dot));
}

} // namespace currantgauge::actions
