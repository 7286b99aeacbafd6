#include "currantgauge/store/encoding.h"

#include "currantgauge/store/store_codec.h"

#include <variant>

namespace currantgauge::store {

std::string encodePercent(std::string_view Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  static constexpr std::string_view Unreserved =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
  std::string Encoded;
  for (char Character : Text) {
    if (Unreserved.find(Character) != std::string_view::npos) {
      Encoded += Character;
      continue;
    }
    auto Byte = static_cast<unsigned char>(Character);
    Encoded += '%';
    Encoded += Digits[Byte >> 4];
    Encoded += Digits[Byte & 0xf];
  }
  return Encoded;
}

bool isWrite(const base::StoreOperation &Operation) {
  return std::holds_alternative<base::WriteRows>(Operation) ||
         std::holds_alternative<base::PutObject>(Operation) ||
         std::holds_alternative<base::DeleteObject>(Operation);
}

Encoding nativeEncoding() { return Encoding{encodeOperation, decodeAnswer}; }

} // namespace currantgauge::store
