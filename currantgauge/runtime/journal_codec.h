// Converts any event or effect to JSON and back, except for the parsed
// configurations and documents in it. A struct is encoded as an array of its
// fields and a variant as [index, value].
//
//   nlohmann::json Text = toJson(Event.Body);
//   fromJson(Text, Event.Body);
#ifndef CURRANTGAUGE_RUNTIME_JOURNAL_CODEC_H
#define CURRANTGAUGE_RUNTIME_JOURNAL_CODEC_H

#include "currantgauge/base/ids.h"
#include "currantgauge/config/model.h"
#include "currantgauge/config/parts.h"
#include "currantgauge/runtime/fields.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::runtime {

using Json = nlohmann::json;

// A parsed configuration is not written; a replay parses its parts again.
inline Json toJson(const config::ConfigurationPtr &) { return nullptr; }
inline void fromJson(const Json &, config::ConfigurationPtr &) {}

// The parts of a document are written as one hash only, which is enough to tell
// documents apart; a replay computes the parts again.
inline Json toJson(const config::PartSetPtr &Parts) {
  return Parts ? Json(config::hashManifest(*Parts).Value) : Json(nullptr);
}
inline void fromJson(const Json &, config::PartSetPtr &) {}

// A part of a configuration, from another node, is written in full.
inline Json toJson(const config::ConfigPartPtr &Part);
inline void fromJson(const Json &From, config::ConfigPartPtr &Part);

// All overloads are declared before their first use: they are not in the
// namespaces of their arguments' types, so argument-dependent lookup would not
// find one that is declared later.
template <typename T> Json toJson(const T &Value);
template <typename T> void fromJson(const Json &From, T &Value);
template <typename Tag> Json toJson(const base::StrongName<Tag> &Name);
template <typename Tag>
void fromJson(const Json &From, base::StrongName<Tag> &Name);
template <typename Tag> Json toJson(const base::StrongNumber<Tag> &Number);
template <typename Tag>
void fromJson(const Json &From, base::StrongNumber<Tag> &Number);
template <typename A, typename B> Json toJson(const std::pair<A, B> &Value);
template <typename A, typename B>
void fromJson(const Json &From, std::pair<A, B> &Value);
template <typename T> Json toJson(const std::vector<T> &Values);
template <typename T> void fromJson(const Json &From, std::vector<T> &Values);
template <typename T> Json toJson(const std::optional<T> &Value);
template <typename T> void fromJson(const Json &From, std::optional<T> &Value);
template <typename K, typename V> Json toJson(const std::map<K, V> &Values);
template <typename K, typename V>
void fromJson(const Json &From, std::map<K, V> &Values);
template <typename T> Json toJson(const std::set<T> &Values);
template <typename T> void fromJson(const Json &From, std::set<T> &Values);
template <typename... T> Json toJson(const std::variant<T...> &Value);
template <typename... T>
void fromJson(const Json &From, std::variant<T...> &Value);

// A string may hold any bytes, but JSON only UTF-8. Each byte is therefore
// encoded as the Latin-1 character with that code.
inline Json toJson(const std::string &Text) {
  std::string Utf8;
  for (unsigned char Byte : Text) {
    if (Byte < 0x80) {
      Utf8 += static_cast<char>(Byte);
    } else {
      Utf8 += static_cast<char>(0xc0 | (Byte >> 6));
      Utf8 += static_cast<char>(0x80 | (Byte & 0x3f));
    }
  }
  return Utf8;
}
inline void fromJson(const Json &From, std::string &Text) {
  const auto &Utf8 = From.get_ref<const std::string &>();
  Text.clear();
  for (std::size_t I = 0; I < Utf8.size(); ++I) {
    auto Byte = static_cast<unsigned char>(Utf8[I]);
    if (Byte >= 0x80 && I + 1 < Utf8.size())
      Byte = static_cast<unsigned char>((Byte << 6) | (Utf8[++I] & 0x3f));
    Text += static_cast<char>(Byte);
  }
}

inline Json toJson(const config::ConfigPartPtr &Part) {
  return Json::array({toJson(Part->Name), toJson(Part->Text)});
}
inline void fromJson(const Json &From, config::ConfigPartPtr &Part) {
  std::string Name;
  std::string Text;
  fromJson(From.at(0), Name);
  fromJson(From.at(1), Text);
  Part = config::makePart(std::move(Name), std::move(Text));
}

template <typename Tag> Json toJson(const base::StrongName<Tag> &Name) {
  return toJson(Name.Value);
}
template <typename Tag>
void fromJson(const Json &From, base::StrongName<Tag> &Name) {
  fromJson(From, Name.Value);
}

template <typename Tag> Json toJson(const base::StrongNumber<Tag> &Number) {
  return Number.Value;
}
template <typename Tag>
void fromJson(const Json &From, base::StrongNumber<Tag> &Number) {
  Number.Value = From.get<std::uint64_t>();
}

template <typename A, typename B> Json toJson(const std::pair<A, B> &Value) {
  return Json::array({toJson(Value.first), toJson(Value.second)});
}
template <typename A, typename B>
void fromJson(const Json &From, std::pair<A, B> &Value) {
  fromJson(From.at(0), Value.first);
  fromJson(From.at(1), Value.second);
}

template <typename T> Json toJson(const std::vector<T> &Values) {
  Json Result = Json::array();
  for (const T &Value : Values)
    Result.push_back(toJson(Value));
  return Result;
}
template <typename T> void fromJson(const Json &From, std::vector<T> &Values) {
  Values.clear();
  for (const Json &Item : From)
    fromJson(Item, Values.emplace_back());
}

template <typename T> Json toJson(const std::optional<T> &Value) {
  return Value ? Json::array({toJson(*Value)}) : Json::array();
}
template <typename T> void fromJson(const Json &From, std::optional<T> &Value) {
  Value.reset();
  if (!From.empty())
    fromJson(From.at(0), Value.emplace());
}

template <typename K, typename V> Json toJson(const std::map<K, V> &Values) {
  Json Result = Json::array();
  for (const auto &[Key, Value] : Values)
    Result.push_back(Json::array({toJson(Key), toJson(Value)}));
  return Result;
}
template <typename K, typename V>
void fromJson(const Json &From, std::map<K, V> &Values) {
  Values.clear();
  for (const Json &Item : From) {
    K Key{};
    fromJson(Item.at(0), Key);
    fromJson(Item.at(1), Values[Key]);
  }
}

template <typename T> Json toJson(const std::set<T> &Values) {
  Json Result = Json::array();
  for (const T &Value : Values)
    Result.push_back(toJson(Value));
  return Result;
}
template <typename T> void fromJson(const Json &From, std::set<T> &Values) {
  Values.clear();
  for (const Json &Item : From) {
    T Value{};
    fromJson(Item, Value);
    Values.insert(std::move(Value));
  }
}

template <typename... T> Json toJson(const std::variant<T...> &Value) {
  return Json::array(
      {Value.index(),
       std::visit([](const auto &Alternative) { return toJson(Alternative); },
                  Value)});
}

namespace detail {

template <std::size_t I = 0, typename... T>
void emplaceAt(std::size_t Index, const Json &From, std::variant<T...> &Value) {
  if constexpr (I < sizeof...(T)) {
    if (Index == I)
      fromJson(From, Value.template emplace<I>());
    else
      emplaceAt<I + 1>(Index, From, Value);
  }
}

} // namespace detail

template <typename... T>
void fromJson(const Json &From, std::variant<T...> &Value) {
  detail::emplaceAt(From.at(0).get<std::size_t>(), From.at(1), Value);
}

template <typename T> Json toJson(const T &Value) {
  if constexpr (std::is_enum_v<T>) {
    return static_cast<std::int64_t>(Value);
  } else if constexpr (std::is_arithmetic_v<T>) {
    return Value;
  } else {
    Json Result = Json::array();
    forEachField(Value,
                 [&](const auto &Field) { Result.push_back(toJson(Field)); });
    return Result;
  }
}

template <typename T> void fromJson(const Json &From, T &Value) {
  if constexpr (std::is_enum_v<T>) {
    Value = static_cast<T>(From.get<std::int64_t>());
  } else if constexpr (std::is_arithmetic_v<T>) {
    Value = From.get<T>();
  } else {
    // A journal of an earlier version lacks the fields that were added since.
    const auto &Items = From.get_ref<const Json::array_t &>();
    std::size_t Index = 0;
    forEachField(Value, [&](auto &Field) {
      if (Index < Items.size())
        fromJson(Items[Index++], Field);
    });
  }
}

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_JOURNAL_CODEC_H
