// Callers of a test fleet: background load, and a record of what callers were
// told about each action, to compare with what the backend servers executed.
//
//   ReadLoad Load(Fleet, 8);
//   ActionResponses Responses;
//   Responses.ByKey["key-1"].push_back(commit(Node, "key-1"));
//   CHECK(findContradictions(Fleet, Responses).empty());
#ifndef CURRANTGAUGE_TESTS_INTEGRATION_CALLERS_H
#define CURRANTGAUGE_TESTS_INTEGRATION_CALLERS_H

#include "tests/integration/fleet.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace currantgauge::integration {

// DemoConfig is the configuration folder that most tests push.
extern const std::string DemoConfig;

// ReadLoad sends list reads from several threads, spread over the nodes, until
// it is destroyed. A read succeeds if the response has status 200.
struct ReadLoad {
  ReadLoad(const TestFleet &Fleet, std::size_t Threads);
  ~ReadLoad();
  ReadLoad(const ReadLoad &) = delete;
  ReadLoad &operator=(const ReadLoad &) = delete;

  std::atomic<bool> Stop{false};
  std::atomic<int> Succeeded{0};
  std::atomic<int> Failed{0};
  std::mutex Lock;
  std::vector<std::string> Failures; // each with its node's explanation
  std::vector<std::thread> Threads;
};

// headerOf() returns a response header by its name in lower case, or an empty
// string if the response or the header is missing.
std::string headerOf(const std::optional<HttpResponse> &Response,
                     const char *Name);
std::string verdictOf(const std::optional<HttpResponse> &Response);
std::string reasonOf(const std::optional<HttpResponse> &Response);

// commit() requests an action under an idempotency key. commitById() also sends
// an action id, which then identifies the action instead of the key. The
// backend servers count executions by key.
std::optional<HttpResponse> commit(const NodeProcess &Node,
                                   const std::string &Key);
std::optional<HttpResponse> commitById(const NodeProcess &Node,
                                       const std::string &Key,
                                       const std::string &Id);
// requestActionId() gets a new action id from a node. Throws std::runtime_error
// if it issues none.
std::string requestActionId(const NodeProcess &Node);

// ActionResponses holds the responses that callers got for each action, by key.
struct ActionResponses {
  std::map<std::string, std::vector<std::optional<HttpResponse>>> ByKey;
};

// runsByKey() returns how often each action ran, summed over all backend
// servers of the fleet. Throws std::runtime_error if one doesn't respond.
std::map<std::string, std::uint64_t> runsByKey(const TestFleet &Fleet);

// findContradictions() lists the actions whose responses contradict the backend
// servers' counts: an action that ran twice, one reported as ran that did not
// run, and one that ran although every response said not_run.
std::vector<std::string> findContradictions(const TestFleet &Fleet,
                                            const ActionResponses &Responses);

// failuresOf() returns the outcomes of the failed requests of a load, each with
// its node's explanation.
std::string failuresOf(ReadLoad &Load);

// memberState() returns what Node reports about Member in its status, such as
// "alive ok", or an empty string if it doesn't list the member.
std::string memberState(const NodeProcess &Node, const std::string &Member);

// waitForMemberState() waits until memberState() returns State. Returns false
// after 20 s.
bool waitForMemberState(const NodeProcess &Node, const std::string &Member,
                        const std::string &State);

// wasEjected() returns whether any node has ejected a server, and prints all
// ejection log lines of the nodes that did to standard error.
bool wasEjected(const TestFleet &Fleet, const std::string &Server);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_CALLERS_H
