#include "currantgauge/identity/key_hash.h"

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <system_error>

namespace currantgauge::identity {
namespace {

constexpr std::size_t DigitsPerHalf = 16;
constexpr std::string_view HexDigits = "0123456789abcdef";

std::uint64_t readBigEndian(const unsigned char *Bytes) {
  std::uint64_t Value = 0;
  for (std::size_t Index = 0; Index < sizeof(Value); ++Index)
    Value = Value << 8 | Bytes[Index];
  return Value;
}

std::string formatHalf(std::uint64_t Value) {
  std::string Text(DigitsPerHalf, '0');
  for (std::size_t Index = DigitsPerHalf; Index > 0; Value >>= 4)
    Text[--Index] = HexDigits[Value & 0xf];
  return Text;
}

bool parseHalf(std::string_view Text, std::uint64_t &Value) {
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Value, 16);
  return Result.ec == std::errc() && Result.ptr == End;
}

} // namespace

base::KeyHash hashKey(std::string_view Key) {
  if (Key.empty())
    return {};
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  EVP_Digest(Key.data(), Key.size(), Digest.data(), nullptr, EVP_sha256(),
             nullptr);
  return {readBigEndian(Digest.data()), readBigEndian(Digest.data() + 8)};
}

std::string formatKeyHash(base::KeyHash Hash) {
  return std::string(KeyHashPrefix) + formatHalf(Hash.High) +
         formatHalf(Hash.Low);
}

std::optional<base::KeyHash> parseKeyHash(std::string_view Text) {
  if (!Text.starts_with(KeyHashPrefix))
    return std::nullopt;
  Text.remove_prefix(KeyHashPrefix.size());
  base::KeyHash Hash;
  if (Text.size() != 2 * DigitsPerHalf ||
      Text.find_first_not_of(HexDigits) != std::string_view::npos ||
      !parseHalf(Text.substr(0, DigitsPerHalf), Hash.High) ||
      !parseHalf(Text.substr(DigitsPerHalf), Hash.Low) || Hash.empty())
    return std::nullopt;
  return Hash;
}

} // namespace currantgauge::identity
