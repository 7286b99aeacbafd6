#include "currantgauge/http/operator_codec.h"

#include "currantgauge/config/parts.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::http {
namespace {

using Json = nlohmann::ordered_json;
using core::OperatorCommand;

constexpr int HexBase = 16;

bool parseHex(std::string_view Text, std::uint64_t &Number) {
  const char *End = Text.data() + Text.size();
  auto [Rest, Failure] = std::from_chars(Text.data(), End, Number, HexBase);
  return Failure == std::errc() && Rest == End;
}

bool parseRequestId(std::string_view Text, base::RequestId &Id) {
  std::size_t Dash = Text.find('-');
  return Dash != std::string_view::npos &&
         parseHex(Text.substr(0, Dash), Id.Origin) &&
         parseHex(Text.substr(Dash + 1), Id.Sequence);
}

std::string formatHex(std::uint64_t Number) {
  char Digits[HexBase];
  auto [End, Failure] =
      std::to_chars(Digits, Digits + sizeof Digits, Number, HexBase);
  return std::string(Digits, End);
}

// Replaces invalid UTF-8 with replacement characters, because encoding a reply
// must never fail.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<OperatorCommand> parseExplain(const Json &Body,
                                            std::string &Error) {
  core::ExplainCommand Command;
  if (parseRequestId(Body.at("request").get<std::string>(), Command.Request))
    return Command;
  Error = "request must be a request id such as 1f-2a";
  return std::nullopt;
}

std::optional<OperatorCommand> parseDrain(const Json &Body, std::string &) {
  return core::DrainCommand{
      base::BackendName(Body.at("server").get<std::string>()),
      Body.value("undo", false)};
}

std::optional<OperatorCommand> parseQuarantineClear(const Json &Body,
                                                    std::string &Error) {
  std::uint64_t Value = 0;
  if (parseHex(Body.at("fingerprint").get<std::string>(), Value))
    return core::QuarantineClearCommand{base::Fingerprint(Value)};
  Error = "fingerprint must be a hexadecimal number";
  return std::nullopt;
}

std::optional<OperatorCommand> parseConfig(const Json &Body, std::string &) {
  return core::ConfigShowCommand{
      base::ConfigVersion(Body.value("version", std::uint64_t{0}))};
}

std::optional<OperatorCommand> parseMissingParts(const Json &Body,
                                                 std::string &) {
  core::MissingPartsCommand Command;
  Command.Groups = Body.at("groups").get<std::vector<std::string>>();
  for (const auto &[Name, Hash] : Body.at("hashes").items())
    Command.Hashes.emplace(Name, base::ContentHash(Hash.get<std::string>()));
  return Command;
}

std::optional<OperatorCommand> parsePush(const Json &Body, std::string &) {
  core::ConfigPushCommand Command;
  if (Body.contains("whole")) {
    Command.ManifestHash =
        base::ContentHash(Body.at("whole").get<std::string>());
    for (const auto &[Name, Text] : Body.at("changed").items())
      Command.ChangedParts.push_back({Name, Text.get<std::string>()});
    Command.RemovedParts = Body.at("removed").get<std::vector<std::string>>();
  } else {
    Command.Text = Body.at("text").get<std::string>();
  }
  Command.BaseVersion =
      base::ConfigVersion(Body.at("base_version").get<std::uint64_t>());
  Command.Push = base::PushId(Body.at("push").get<std::string>());
  Command.Author = Body.at("author").get<std::string>();
  return Command;
}

template <typename Command>
std::optional<OperatorCommand> parseWithoutArguments(const Json &,
                                                     std::string &) {
  return Command{};
}

using CommandParser = std::optional<OperatorCommand> (*)(const Json &,
                                                         std::string &);

const std::map<std::string, CommandParser> &commandParsers() {
  static const std::map<std::string, CommandParser> Parsers = {
      {"status", parseWithoutArguments<core::StatusCommand>},
      {"explain", parseExplain},
      {"drain", parseDrain},
      {"quarantine", parseWithoutArguments<core::QuarantineListCommand>},
      {"quarantine_clear", parseQuarantineClear},
      {"config", parseConfig},
      {"config_history", parseWithoutArguments<core::ConfigHistoryCommand>},
      {"config_lacks", parseMissingParts},
      {"config_push", parsePush}};
  return Parsers;
}

Json toJson(const core::StatusCommand &) { return {{"query", "status"}}; }
Json toJson(const core::ExplainCommand &Command) {
  return {{"query", "explain"}, {"request", base::formatId(Command.Request)}};
}
Json toJson(const core::DrainCommand &Command) {
  return {{"query", "drain"},
          {"server", Command.Server.Value},
          {"undo", Command.Undo}};
}
Json toJson(const core::QuarantineListCommand &) {
  return {{"query", "quarantine"}};
}
Json toJson(const core::QuarantineClearCommand &Command) {
  return {{"query", "quarantine_clear"},
          {"fingerprint", formatHex(Command.Fingerprint.Value)}};
}
Json toJson(const core::ConfigShowCommand &Command) {
  return {{"query", "config"}, {"version", Command.Version.Value}};
}
Json toJson(const core::ConfigHistoryCommand &) {
  return {{"query", "config_history"}};
}
Json toJson(const core::MissingPartsCommand &Command) {
  Json Hashes = Json::object();
  for (const auto &[Name, Hash] : Command.Hashes)
    Hashes[Name] = Hash.Value;
  return {{"query", "config_lacks"},
          {"groups", Command.Groups},
          {"hashes", std::move(Hashes)}};
}
Json toJson(const core::ConfigPushCommand &Command) {
  Json Body = {{"query", "config_push"},
               {"base_version", Command.BaseVersion.Value},
               {"push", Command.Push.Value},
               {"author", Command.Author}};
  if (Command.ManifestHash.empty()) {
    Body["text"] = Command.Text;
    return Body;
  }
  Body["whole"] = Command.ManifestHash.Value;
  Body["changed"] = Json::object();
  for (const core::PushedPart &Part : Command.ChangedParts)
    Body["changed"][Part.Name] = Part.Text;
  Body["removed"] = Command.RemovedParts;
  return Body;
}

Json toJson(const core::OperatorTable &Table) {
  return {
      {"title", Table.Title}, {"columns", Table.Columns}, {"rows", Table.Rows}};
}

core::OperatorReply decodeReply(const Json &Body) {
  core::OperatorReply Reply;
  Reply.Error = Body.value("error", "");
  Reply.Text = Body.value("text", "");
  // items() keeps a reference to its object, which must outlive the loop.
  const Json Fields = Body.value("fields", Json::object());
  for (const auto &[Key, Value] : Fields.items())
    Reply.Fields.emplace_back(Key, Value.get<std::string>());
  for (const Json &Table : Body.value("tables", Json::array()))
    Reply.Tables.push_back(core::OperatorTable{
        Table.at("title").get<std::string>(),
        Table.at("columns").get<std::vector<std::string>>(),
        Table.at("rows").get<std::vector<std::vector<std::string>>>()});
  return Reply;
}

} // namespace

std::optional<core::OperatorCommand> parseCommand(const std::string &Text,
                                                  std::string &Error) {
  try {
    Json Body = Json::parse(Text);
    auto Name = Body.at("query").get<std::string>();
    auto It = commandParsers().find(Name);
    if (It != commandParsers().end())
      return It->second(Body, Error);
    Error = "unknown query " + Name;
  } catch (const Json::exception &Failure) {
    Error = std::string("malformed query: ") + Failure.what();
  }
  return std::nullopt;
}

std::string encodeCommand(const core::OperatorCommand &Command) {
  return dump(
      std::visit([](const auto &Typed) { return toJson(Typed); }, Command));
}

std::string encodeReply(const core::OperatorReply &Reply) {
  Json Body = Json::object();
  if (!Reply.Error.empty())
    Body["error"] = Reply.Error;
  Body["fields"] = Json::object();
  for (const auto &[Key, Value] : Reply.Fields)
    Body["fields"][Key] = Value;
  Body["tables"] = Json::array();
  for (const core::OperatorTable &Table : Reply.Tables)
    Body["tables"].push_back(toJson(Table));
  if (Reply.Document)
    Body["text"] = config::joinParts(*Reply.Document);
  else if (!Reply.Text.empty())
    Body["text"] = Reply.Text;
  return dump(Body);
}

core::OperatorReply parseReply(const std::string &Text) {
  try {
    return decodeReply(Json::parse(Text));
  } catch (const Json::exception &Failure) {
    core::OperatorReply Reply;
    Reply.Error = std::string("malformed reply: ") + Failure.what();
    return Reply;
  }
}

} // namespace currantgauge::http
