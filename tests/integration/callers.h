// Callers of a fleet under test: they read in the background, and keep a
// record of actions for the servers' own records to judge.
//
//   Load Asking(Some, 8);
//   ActionResponses Records;
//   Records.Actions["key-1"].push_back(commit(Node, "key-1"));
//   CHECK(contradictions(Some, Records).empty());
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

// DemoConfig is the folder of the configuration that most tests push.
extern const std::string DemoConfig;

// Load keeps asking for lists from several threads, spread over the nodes,
// until it is destroyed.
struct ReadLoad {
  ReadLoad(const TestFleet &Fleet, std::size_t Threads);
  ~ReadLoad();
  ReadLoad(const ReadLoad &) = delete;
  ReadLoad &operator=(const ReadLoad &) = delete;

  std::atomic<bool> Stop{false};
  std::atomic<int> Succeeded{0};
  std::atomic<int> Failed{0};
  std::mutex Lock;
  std::vector<std::string> Failures; // what their nodes explain of them
  std::vector<std::thread> Threads;
};

// fieldOf() returns a field of an answer; empty when either is missing.
std::string headerOf(const std::optional<HttpResponse> &Response,
                     const char *Name);
std::string verdictOf(const std::optional<HttpResponse> &Response);
std::string reasonOf(const std::optional<HttpResponse> &Response);

// commit() asks for an action by a key of the caller's, commitById() by an id
// that requestActionId() got from a node as well; servers count runs by key.
std::optional<HttpResponse> commit(const NodeProcess &Node,
                                   const std::string &Key);
std::optional<HttpResponse> commitById(const NodeProcess &Node,
                                       const std::string &Key,
                                       const std::string &Id);
std::string requestActionId(const NodeProcess &Node);

// ActionResponses is what callers were told of each action, by key.
struct ActionResponses {
  std::map<std::string, std::vector<std::optional<HttpResponse>>> ByKey;
};

// runsByKey() adds up what all servers of the fleet have run.
std::map<std::string, std::uint64_t> runsByKey(const TestFleet &Fleet);

// contradictions() lists what the servers' records deny: an action that ran
// twice, one that was said to have run and did not, one whose every ask was
// said not to have run and that did.
std::vector<std::string> findContradictions(const TestFleet &Fleet,
                                            const ActionResponses &Responses);

// failuresOf() lists what the nodes explain of the bad asks of a load.
std::string failuresOf(ReadLoad &Load);

// memberState() returns what a node's status says of another, "alive ok";
// empty: nothing.
std::string memberState(const NodeProcess &Node, const std::string &Member);

// waitForMemberState() waits until a node says that of another.
bool waitForMemberState(const NodeProcess &Node, const std::string &Member,
                        const std::string &State);

// wasEjected() says whether any node has taken a server out of traffic, and
// prints what their logs say of it.
bool wasEjected(const TestFleet &Fleet, const std::string &Server);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_CALLERS_H
