#include "tests/stand_ins/target.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>

namespace currantgauge::stand_ins {
namespace {

std::string decodePercent(std::string_view Text) {
  std::string Plain;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%' || At + 2 >= Text.size()) {
      Plain += Text[At];
      continue;
    }
    std::string Hex(Text.substr(At + 1, 2));
    Plain += static_cast<char>(std::strtol(Hex.c_str(), nullptr, 16));
    At += 2;
  }
  return Plain;
}

} // namespace

RequestTarget parseTarget(boost::string_view Raw) {
  std::string_view Text(Raw.data(), Raw.size());
  RequestTarget Parsed;
  std::string_view Path = Text.substr(0, Text.find('?'));
  std::string_view Query =
      Path.size() < Text.size() ? Text.substr(Path.size() + 1) : "";
  while (!Path.empty()) {
    Path.remove_prefix(1);
    std::string_view Part = Path.substr(0, Path.find('/'));
    Parsed.Parts.push_back(decodePercent(Part));
    Path.remove_prefix(Part.size());
  }
  while (!Query.empty()) {
    std::string_view Pair = Query.substr(0, Query.find('&'));
    std::size_t Equals = std::min(Pair.find('='), Pair.size());
    std::string_view Value =
        Equals < Pair.size() ? Pair.substr(Equals + 1) : "";
    Parsed.Query[decodePercent(Pair.substr(0, Equals))] = decodePercent(Value);
    Query.remove_prefix(std::min(Pair.size() + 1, Query.size()));
  }
  return Parsed;
}

} // namespace currantgauge::stand_ins
