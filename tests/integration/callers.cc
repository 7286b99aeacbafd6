#include "tests/integration/callers.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <stdexcept>

namespace currantgauge::integration {
namespace {

// Between the reads of a thread of a ReadLoad.
constexpr std::chrono::milliseconds ReadInterval{30};

// Shorter than the deadline of the kind, so that callers of actions don't wait
// that long.
const std::string ActionTimeoutMillis = "1500";

std::string outcomeOf(const std::optional<HttpResponse> &Response) {
  return Response ? verdictOf(Response) + "/" + reasonOf(Response)
                  : "no response";
}

std::string explainResponse(const NodeProcess &Node,
                            const std::optional<HttpResponse> &Response) {
  std::string Id = headerOf(Response, "currantgauge-request-id");
  return outcomeOf(Response) + " " +
         query(Node, R"({"query":"explain","request":")" + Id + "\"}");
}

std::string
outcomesOf(const std::vector<std::optional<HttpResponse>> &Responses) {
  std::string Text;
  for (const std::optional<HttpResponse> &Response : Responses)
    Text += " " + outcomeOf(Response);
  return Text;
}

// A missing response leaves it unknown whether the action ran, as may_have_run
// does.
bool contradictsRuns(const std::vector<std::optional<HttpResponse>> &Responses,
                     std::uint64_t Runs) {
  auto HasVerdict = [&](const char *Verdict) {
    return [Verdict](const std::optional<HttpResponse> &Response) {
      return verdictOf(Response) == Verdict;
    };
  };
  if (Runs > 1)
    return true;
  if (Runs == 0)
    return std::any_of(Responses.begin(), Responses.end(), HasVerdict("ran"));
  return std::all_of(Responses.begin(), Responses.end(), HasVerdict("not_run"));
}

} // namespace

const std::string DemoConfig =
    std::string(CURRANTGAUGE_SOURCE_DIR) + "/examples/demo/config";

ReadLoad::ReadLoad(const TestFleet &Fleet, std::size_t Threads) {
  for (std::size_t I = 0; I < Threads; ++I)
    this->Threads.emplace_back([this, &Fleet, I] {
      const NodeProcess &Node = Fleet.Nodes[I % Fleet.Nodes.size()];
      while (!this->Stop) {
        auto Response = sendRequest(Node.CallerAddress, "GET", "/lists/7");
        if (Response && Response->Status == 200) {
          ++this->Succeeded;
        } else {
          std::lock_guard<std::mutex> Guard(this->Lock);
          ++this->Failed;
          this->Failures.push_back(explainResponse(Node, Response));
        }
        std::this_thread::sleep_for(ReadInterval);
      }
    });
}

ReadLoad::~ReadLoad() {
  this->Stop = true;
  for (std::thread &Thread : this->Threads)
    Thread.join();
}

std::string headerOf(const std::optional<HttpResponse> &Response,
                     const char *Name) {
  return Response && Response->Headers.contains(Name)
             ? Response->Headers.at(Name)
             : "";
}

std::string verdictOf(const std::optional<HttpResponse> &Response) {
  return headerOf(Response, "currantgauge-verdict");
}

std::string reasonOf(const std::optional<HttpResponse> &Response) {
  return headerOf(Response, "currantgauge-reason");
}

std::optional<HttpResponse> commit(const NodeProcess &Node,
                                   const std::string &Key) {
  return sendRequest(Node.CallerAddress, "POST", "/commits/9", "order " + Key,
                     {{"Idempotency-Key", Key},
                      {"Currantgauge-Timeout-Ms", ActionTimeoutMillis}});
}

// The node identifies the action by its id if both are given; the key lets the
// backend server count it.
std::optional<HttpResponse> commitById(const NodeProcess &Node,
                                       const std::string &Key,
                                       const std::string &Id) {
  return sendRequest(Node.CallerAddress, "POST", "/commits/9", "order " + Key,
                     {{"Idempotency-Key", Key},
                      {"Currantgauge-Action-Id", Id},
                      {"Currantgauge-Timeout-Ms", ActionTimeoutMillis}});
}

std::string requestActionId(const NodeProcess &Node) {
  auto Issued =
      sendRequest(Node.CallerAddress, "POST", "/.currantgauge/actions");
  if (!Issued || Issued->Status != 201)
    throw std::runtime_error("could not get an action id from node " +
                             Node.Name);
  return nlohmann::json::parse(Issued->Body)["action"];
}

std::map<std::string, std::uint64_t> runsByKey(const TestFleet &Fleet) {
  std::map<std::string, std::uint64_t> Runs;
  for (const ServerProcess &Server : Fleet.Servers) {
    auto Stats = sendRequest(Server.Address, "GET", "/.stats");
    if (!Stats)
      throw std::runtime_error("could not read the statistics of " +
                               Server.Name);
    auto ByKey = nlohmann::json::parse(Stats->Body)["by_key"]
                     .get<std::map<std::string, std::uint64_t>>();
    for (const auto &[Key, Count] : ByKey)
      Runs[Key] += Count;
  }
  return Runs;
}

std::vector<std::string> findContradictions(const TestFleet &Fleet,
                                            const ActionResponses &Responses) {
  std::map<std::string, std::uint64_t> Runs = runsByKey(Fleet);
  std::vector<std::string> Contradictions;
  for (const auto &[Key, KeyResponses] : Responses.ByKey)
    if (contradictsRuns(KeyResponses, Runs[Key]))
      Contradictions.push_back(
          Key + " ran " + std::to_string(Runs[Key]) +
          " times; callers got:" + outcomesOf(KeyResponses));
  return Contradictions;
}

std::string failuresOf(ReadLoad &Load) {
  std::lock_guard<std::mutex> Guard(Load.Lock);
  std::string Text;
  for (const std::string &Failure : Load.Failures)
    Text += "\n" + Failure;
  return Text;
}

std::string memberState(const NodeProcess &Node, const std::string &Member) {
  auto Reply = nlohmann::json::parse(query(Node, R"({"query":"status"})"),
                                     nullptr, false);
  if (!Reply.is_object())
    return "";
  for (const auto &Table : Reply["tables"])
    if (Table["title"] == "nodes")
      for (const auto &Row : Table["rows"])
        if (Row[0] == Member)
          return Row[3].get<std::string>() + " " + Row[4].get<std::string>();
  return "";
}

bool waitForMemberState(const NodeProcess &Node, const std::string &Member,
                        const std::string &State) {
  return waitUntil([&] { return memberState(Node, Member) == State; });
}

bool wasEjected(const TestFleet &Fleet, const std::string &Server) {
  bool Ejected = false;
  for (const NodeProcess &Node : Fleet.Nodes) {
    auto Page = sendRequest(Node.AnnounceAddress, "GET", "/metrics");
    if (!Page || Page->Body.find("currantgauge_ejections_total{server=\"" +
                                 Server + "\"") == std::string::npos)
      continue;
    Ejected = true;
    std::ifstream Log(Fleet.Folder + "/" + Node.Name + ".log");
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find("server_ejected") != std::string::npos)
        std::cerr << Line << "\n";
  }
  return Ejected;
}

} // namespace currantgauge::integration
