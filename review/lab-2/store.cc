#include "review/lab-2/store.h"

#include "review/lab-2/net.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review {
namespace {

using nlohmann::json;

constexpr std::size_t MaxRows = 500; // per response

std::string encodeBase64(const std::string &Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = I; J < I + 3; ++J)
      Group = Group << 8 |
              (J < Bytes.size() ? static_cast<unsigned char>(Bytes[J]) : 0U);
    for (int Shift = 18; Shift >= 0; Shift -= 6)
      Text += Digits[Group >> Shift & 63];
    for (std::size_t J = Bytes.size(); J < I + 3; ++J)
      Text[Text.size() + J - I - 3] = '=';
  }
  return Text;
}

std::string decodePercent(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result += static_cast<char>(
          std::strtoul(Text.substr(I + 1, 2).c_str(), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  return Result;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::size_t Begin = Target.find('?');
  while (Begin != std::string::npos) {
    std::size_t End = Target.find('&', Begin + 1);
    std::string Pair = Target.substr(Begin + 1, End - Begin - 1);
    std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Query[Pair.substr(0, Equals)] = decodePercent(Pair.substr(Equals + 1));
    Begin = End;
  }
  return Query;
}

json describeRow(const Store &Platform, const RowName &Name) {
  json Row = {{"table", Name.first}, {"part", ""}, {"key", Name.second}};
  auto It = Platform.Rows.find(Name);
  if (It == Platform.Rows.end()) {
    Row["removed"] = true;
    Row["versionNumber"] = Platform.Version;
  } else {
    Row["value"] = It->second.Value;
    Row["versionNumber"] = It->second.Version;
  }
  return Row;
}

json makeAnswer(const Store &Platform, json Rows) {
  auto Elapsed = std::chrono::steady_clock::now().time_since_epoch();
  return {
      {"rows", std::move(Rows)},
      {"versionNumber", Platform.Version},
      {"monotonicTimeMs", std::chrono::duration_cast<Millis>(Elapsed).count()}};
}

json getRows(Store &Platform, std::map<std::string, std::string> Query) {
  std::lock_guard<std::mutex> Guard(Platform.Lock);
  std::size_t Limit = Query["limit"].empty()
                          ? MaxRows
                          : std::min(MaxRows, std::stoul(Query["limit"]));
  json Rows = json::array();
  bool HasMore = false;
  for (const auto &[Name, Row] : Platform.Rows) {
    if (Name.first != Query["table"] || Name.second < Query["from"])
      continue;
    HasMore = Rows.size() == Limit;
    if (HasMore)
      break;
    Rows.push_back(describeRow(Platform, Name));
  }
  json Answer = makeAnswer(Platform, std::move(Rows));
  Answer["hasMore"] = HasMore;
  return Answer;
}

json waitForChanges(Store &Platform, std::map<std::string, std::string> Query) {
  std::unique_lock<std::mutex> Guard(Platform.Lock);
  std::uint64_t After = std::stoull(Query["after"]);
  Millis Wait(std::min(30000UL, std::stoul(Query["waitMs"])));
  std::vector<RowName> Names;
  auto FindChanges = [&] {
    for (const StoreChange &Change : Platform.Changes)
      if (Change.Version > After && Change.Name.first == Query["table"] &&
          std::find(Names.begin(), Names.end(), Change.Name) == Names.end())
        Names.push_back(Change.Name);
    return !Names.empty();
  };
  Platform.Changed.wait_for(Guard, Wait, FindChanges);
  json Rows = json::array();
  for (const RowName &Name : Names)
    Rows.push_back(describeRow(Platform, Name));
  return makeAnswer(Platform, std::move(Rows));
}

RowName nameOf(const json &Entry) {
  return {Entry.at("table").get<std::string>(),
          Entry.at("key").get<std::string>()};
}

void applyWrite(Store &Platform, const RowName &Name, const json *Value) {
  if (Value)
    Platform.Rows[Name] = {Value->get<std::string>(), Platform.Version};
  else
    Platform.Rows.erase(Name);
  Platform.Changes.push_back({Name, Platform.Version});
}

int runTransaction(Store &Platform, const json &Body, json &Answer) {
  std::lock_guard<std::mutex> Guard(Platform.Lock);
  json Current = json::array();
  bool Holds = true;
  for (const json &Entry : Body.value("expected", json::array())) {
    auto It = Platform.Rows.find(nameOf(Entry));
    std::uint64_t Found = It == Platform.Rows.end() ? 0 : It->second.Version;
    Holds = Holds && Found == Entry.at("versionNumber").get<std::uint64_t>();
    if (Found != 0)
      Current.push_back(describeRow(Platform, It->first));
  }
  if (Holds) {
    ++Platform.Version;
    for (const json &Entry : Body.value("put", json::array()))
      applyWrite(Platform, nameOf(Entry), &Entry.at("value"));
    for (const json &Entry : Body.value("remove", json::array()))
      applyWrite(Platform, nameOf(Entry), nullptr);
    Platform.Changed.notify_all();
  }
  Answer = makeAnswer(Platform, Holds ? json::array() : std::move(Current));
  return Holds ? 200 : 412;
}

void serve(Store &Platform, Socket &Conn) {
  while (true) {
    Message Request = readMessage(Conn);
    std::string Path = Request.Second.substr(0, Request.Second.find('?'));
    int Status = 200;
    json Answer = json::object();
    if (Path == "/api/rows-get")
      Answer = getRows(Platform, parseQuery(Request.Second));
    else if (Path == "/api/rows-feed")
      Answer = waitForChanges(Platform, parseQuery(Request.Second));
    else if (Path == "/api/rows-tx")
      Status = runTransaction(Platform, json::parse(Request.Body), Answer);
    else
      Status = 404;
    sendAll(Conn, formatAnswer(Status, {{"Content-Type", "application/json"}},
                               Answer.dump()));
  }
}

} // namespace

void startStore(Store &Platform) {
  Platform.Address = listenOn(
      "127.0.0.1", [&Platform](Socket &Conn) { serve(Platform, Conn); });
}

nlohmann::json makeRoute(const std::string &Prefix, const std::string &Service,
                         const std::string &Kind, int TimeoutMillis) {
  return {{"host", "x.example"}, {"pathPrefix", Prefix},
          {"service", Service},  {"kind", Kind},
          {"attempts", 2},       {"aimMs", 1200},
          {"priority", 1},       {"timeoutMs", TimeoutMillis}};
}

void writeConfig(Store &Platform, const std::string &Version,
                 const std::vector<std::string> &Services,
                 const nlohmann::json &Routes) {
  json Described = json::object();
  for (const std::string &Service : Services)
    Described[Service] = {{"healthCheckPath", "/health"},
                          {"connectionLimit", 330}};
  json Document = {{"version", Version},
                   {"services", Described},
                   {"routes", Routes},
                   {"limits",
                    {{"maxHeaderBytes", 16384},
                     {"maxBodyBytes", 1048576},
                     {"headerTimeoutMs", 3000},
                     {"idleTimeoutMs", 15000}}}};
  json Value = encodeBase64(Document.dump());
  std::lock_guard<std::mutex> Guard(Platform.Lock);
  ++Platform.Version;
  applyWrite(Platform, {"op", "config"}, &Value);
  Platform.Changed.notify_all();
}

} // namespace review
