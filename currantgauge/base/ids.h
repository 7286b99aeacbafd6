// Strongly typed identifiers: a ServiceName can't be passed as a KindName.
//
//   ServiceName Cutlist{"cutlist"};
//   AttemptId Attempt{Origin, Sequence};
#ifndef CURRANTGAUGE_BASE_IDS_H
#define CURRANTGAUGE_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace currantgauge::base {

// StrongName is a string identifier, comparable only to one with the same Tag.
template <typename Tag> struct StrongName {
  std::string Value;

  StrongName() = default;
  explicit StrongName(std::string Text) : Value(std::move(Text)) {}
  bool empty() const { return this->Value.empty(); }
  auto operator<=>(const StrongName &) const = default;
};

// StrongNumber is a numeric identifier, comparable only to one with the same
// Tag.
template <typename Tag> struct StrongNumber {
  std::uint64_t Value = 0;

  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t Number) : Value(Number) {}
  constexpr auto operator<=>(const StrongNumber &) const = default;
};

// UniqueId is unique in the fleet among ids of its Tag. Origin identifies one
// run of a node process; Sequence counts within that run.
template <typename Tag> struct UniqueId {
  std::uint64_t Origin = 0;
  std::uint64_t Sequence = 0;

  constexpr auto operator<=>(const UniqueId &) const = default;
};

// KeyHash is the first half of the SHA-256 of a caller's key, so that the key
// itself is kept nowhere. All zero: no key.
struct KeyHash {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  constexpr bool empty() const { return this->High == 0 && this->Low == 0; }
  constexpr auto operator<=>(const KeyHash &) const = default;
};

using ServiceName = StrongName<struct ServiceTag>;
using KindName = StrongName<struct KindTag>; // of requests treated alike
using RankName = StrongName<struct RankTag>; // of a priority class
using WorkspaceName = StrongName<struct WorkspaceTag>; // of a customer
using BackendName = StrongName<struct BackendTag>;
using NodeName = StrongName<struct NodeTag>;
using RegionName = StrongName<struct RegionTag>;
using DomainName = StrongName<struct DomainTag>; // name of a failure domain
using IdempotencyKey = StrongName<struct KeyTag>;
using ActionToken = StrongName<struct ActionTag>; // an action id
// NetAddress is an address in the form "IP:port".
using NetAddress = StrongName<struct AddressTag>;
using ContentHash = StrongName<struct HashTag>;
using PushId = StrongName<struct PushTag>; // of a configuration push

// Incarnation orders runs of a node or backend server; a later one is higher.
using Incarnation = StrongNumber<struct IncarnationTag>;
using ConfigVersion = StrongNumber<struct VersionTag>;
// BodyHash is the xxHash64 of a request body.
using BodyHash = StrongNumber<struct BodyHashTag>;
// Fingerprint identifies equal requests: a hash of service, kind, method, path
// and body hash.
using Fingerprint = StrongNumber<struct FingerprintTag>;
// StoreEra numbers the histories of the platform's store: it rises each time
// the store is restored from a copy. 0: unknown.
using StoreEra = StrongNumber<struct StoreEraTag>;
// CallId correlates an effect that makes a call with the event that carries its
// reply.
using CallId = StrongNumber<struct CallTag>;

using RequestId = UniqueId<struct RequestTag>;
using AttemptId = UniqueId<struct AttemptTag>;

// formatId() returns "origin-sequence" in hexadecimal, the form used in headers
// and logs.
template <typename Tag> std::string formatId(const UniqueId<Tag> &Id) {
  static constexpr char Digits[] = "0123456789abcdef";
  auto Hex = [](std::uint64_t Number) {
    std::string Text;
    do {
      Text.insert(Text.begin(), Digits[Number & 0xf]);
      Number >>= 4;
    } while (Number != 0);
    return Text;
  };
  return Hex(Id.Origin) + "-" + Hex(Id.Sequence);
}

} // namespace currantgauge::base

template <typename Tag> struct std::hash<currantgauge::base::StrongName<Tag>> {
  std::size_t
  operator()(const currantgauge::base::StrongName<Tag> &Name) const noexcept {
    return std::hash<std::string>()(Name.Value);
  }
};

template <typename Tag> struct std::hash<currantgauge::base::UniqueId<Tag>> {
  std::size_t
  operator()(const currantgauge::base::UniqueId<Tag> &Id) const noexcept {
    return std::hash<std::uint64_t>()(Id.Origin * 0x9e3779b97f4a7c15ULL ^
                                      Id.Sequence);
  }
};

#endif // CURRANTGAUGE_BASE_IDS_H
