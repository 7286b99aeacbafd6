#include "tests/integration/callers.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <stdexcept>

namespace currantgauge::integration {
namespace {

constexpr std::chrono::milliseconds ReadInterval{30};

// Callers of actions do not wait for the kind's whole deadline.
const std::string Timeout = "1500";

std::string endingOf(const std::optional<HttpResponse> &Got) {
  return Got ? verdictOf(Got) + "/" + reasonOf(Got) : "no answer";
}

std::string explain(const NodeProcess &Node,
                    const std::optional<HttpResponse> &Got) {
  std::string Id = headerOf(Got, "currantgauge-request-id");
  return endingOf(Got) + " " +
         query(Node, R"({"query":"explain","request":")" + Id + "\"}");
}

std::string verdictsOf(const std::vector<std::optional<HttpResponse>> &Asks) {
  std::string Text;
  for (const std::optional<HttpResponse> &Got : Asks)
    Text += " " + endingOf(Got);
  return Text;
}

// A lost answer leaves the action in doubt, as may_have_run does.
bool isDenied(const std::vector<std::optional<HttpResponse>> &Asks,
              std::uint64_t Runs) {
  auto Says = [&](const char *Verdict) {
    return [Verdict](const std::optional<HttpResponse> &Got) {
      return verdictOf(Got) == Verdict;
    };
  };
  if (Runs > 1)
    return true;
  if (Runs == 0)
    return std::any_of(Asks.begin(), Asks.end(), Says("ran"));
  return std::all_of(Asks.begin(), Asks.end(), Says("not_run"));
}

} // namespace

const std::string DemoConfig =
    std::string(CURRANTGAUGE_SOURCE_DIR) + "/examples/demo/config";

ReadLoad::ReadLoad(const TestFleet &Some, std::size_t Threads) {
  for (std::size_t I = 0; I < Threads; ++I)
    this->Threads.emplace_back([this, &Some, I] {
      const NodeProcess &Node = Some.Nodes[I % Some.Nodes.size()];
      while (!this->Stop) {
        auto Got = sendRequest(Node.CallerAddress, "GET", "/lists/7");
        if (Got && Got->Status == 200) {
          ++this->Succeeded;
        } else {
          std::lock_guard<std::mutex> Guard(this->Lock);
          ++this->Failed;
          this->Failures.push_back(explain(Node, Got));
        }
        std::this_thread::sleep_for(ReadInterval);
      }
    });
}

ReadLoad::~Load() {
  this->Stop = true;
  for (std::thread &Each : this->Threads)
    Each.join();
}

std::string headerOf(const std::optional<HttpResponse> &Got, const char *Name) {
  return Got && Got->Headers.contains(Name) ? Got->Headers.at(Name) : "";
}

std::string verdictOf(const std::optional<HttpResponse> &Got) {
  return headerOf(Got, "currantgauge-verdict");
}

std::string reasonOf(const std::optional<HttpResponse> &Got) {
  return headerOf(Got, "currantgauge-reason");
}

std::optional<HttpResponse> commit(const NodeProcess &Node,
                                   const std::string &Key) {
  return sendRequest(
      Node.CallerAddress, "POST", "/commits/9", "order " + Key,
      {{"Idempotency-Key", Key}, {"Currantgauge-Timeout-Ms", Timeout}});
}

// An id goes before a key; the key tells the server which action this is.
std::optional<HttpResponse> commitById(const NodeProcess &Node,
                                       const std::string &Key,
                                       const std::string &Id) {
  return sendRequest(Node.CallerAddress, "POST", "/commits/9", "order " + Key,
                     {{"Idempotency-Key", Key},
                      {"Currantgauge-Action-Id", Id},
                      {"Currantgauge-Timeout-Ms", Timeout}});
}

std::string requestActionId(const NodeProcess &Node) {
  auto Issued =
      sendRequest(Node.CallerAddress, "POST", "/.currantgauge/actions");
  if (!Issued || Issued->Status != 201)
    throw std::runtime_error("no action id at " + Node.Name);
  return nlohmann::json::parse(Issued->Body)["action"];
}

std::map<std::string, std::uint64_t> runsByKey(const TestFleet &Some) {
  std::map<std::string, std::uint64_t> Runs;
  for (const ServerProcess &Server : Some.Servers) {
    auto Stats = sendRequest(Server.Address, "GET", "/.stats");
    if (!Stats)
      throw std::runtime_error("no record of " + Server.Name);
    auto ByKey = nlohmann::json::parse(Stats->Body)["by_key"]
                     .get<std::map<std::string, std::uint64_t>>();
    for (const auto &[Key, Count] : ByKey)
      Runs[Key] += Count;
  }
  return Runs;
}

std::vector<std::string> findContradictions(const TestFleet &Some,
                                            const ActionResponses &Records) {
  std::map<std::string, std::uint64_t> Runs = runsByKey(Some);
  std::vector<std::string> Found;
  for (const auto &[Key, Asks] : Records.ByKey)
    if (isDenied(Asks, Runs[Key]))
      Found.push_back(Key + " ran " + std::to_string(Runs[Key]) +
                      " times, callers were told:" + verdictsOf(Asks));
  return Found;
}

std::string failuresOf(ReadLoad &Asking) {
  std::lock_guard<std::mutex> Guard(Asking.Lock);
  std::string Text;
  for (const std::string &One : Asking.Failures)
    Text += "\n" + One;
  return Text;
}

std::string memberState(const NodeProcess &Node, const std::string &Of) {
  auto Reply = nlohmann::json::parse(query(Node, R"({"query":"status"})"),
                                     nullptr, false);
  if (!Reply.is_object())
    return "";
  for (const auto &Table : Reply["tables"])
    if (Table["title"] == "nodes")
      for (const auto &Row : Table["rows"])
        if (Row[0] == Of)
          return Row[3].get<std::string>() + " " + Row[4].get<std::string>();
  return "";
}

bool waitForMemberState(const NodeProcess &Node, const std::string &Of,
                        const std::string &What) {
  return waitUntil([&] { return memberState(Node, Of) == What; });
}

bool wasEjected(const TestFleet &Some, const std::string &Server) {
  bool Ejected = false;
  for (const NodeProcess &Node : Some.Nodes) {
    auto Page = sendRequest(Node.AnnounceAddress, "GET", "/metrics");
    if (!Page || Page->Body.find("currantgauge_ejections_total{server=\"" +
                                 Server + "\"") == std::string::npos)
      continue;
    Ejected = true;
    std::ifstream Log(Some.Folder + "/" + Node.Name + ".log");
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find("server_ejected") != std::string::npos)
        std::cerr << Line << "\n";
  }
  return Ejected;
}

} // namespace currantgauge::integration
