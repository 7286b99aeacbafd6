// Callers of a fleet under test: they read in the background, and keep a
// record of actions for the servers' own records to judge.
//
//   Load Asking(Some, 8);
//   ActionRecords Records;
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
struct Load {
  Load(const Fleet &Some, std::size_t Threads);
  ~Load();
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  std::atomic<bool> Stop{false};
  std::atomic<int> Good{0};
  std::atomic<int> Bad{0};
  std::mutex Lock;
  std::vector<std::string> BadOnes; // what their nodes explain of them
  std::vector<std::thread> Threads;
};

// fieldOf() returns a field of an answer; empty when either is missing.
std::string fieldOf(const std::optional<Answer> &Got, const char *Name);
std::string verdictOf(const std::optional<Answer> &Got);
std::string reasonOf(const std::optional<Answer> &Got);

// commit() asks for an action by a key of the caller's, commitById() by an id
// that takeId() got from a node as well; servers count runs by key.
std::optional<Answer> commit(const NodeProcess &Node, const std::string &Key);
std::optional<Answer> commitById(const NodeProcess &Node,
                                 const std::string &Key, const std::string &Id);
std::string takeId(const NodeProcess &Node);

// ActionRecords is what callers were told of each action, by key.
struct ActionRecords {
  std::map<std::string, std::vector<std::optional<Answer>>> Actions;
};

// runsByKey() adds up what all servers of the fleet have run.
std::map<std::string, std::uint64_t> runsByKey(const Fleet &Some);

// contradictions() lists what the servers' records deny: an action that ran
// twice, one that was said to have run and did not, one whose every ask was
// said not to have run and that did.
std::vector<std::string> contradictions(const Fleet &Some,
                                        const ActionRecords &Records);

// badOnes() lists what the nodes explain of the bad asks of a load.
std::string badOnes(Load &Asking);

// memberAt() returns what a node's status says of another, "alive ok"; empty:
// nothing.
std::string memberAt(const NodeProcess &Node, const std::string &Of);

// waitForMember() waits until a node says that of another.
bool waitForMember(const NodeProcess &Node, const std::string &Of,
                   const std::string &What);

// wasEjected() says whether any node has taken a server out of traffic, and
// prints what their logs say of it.
bool wasEjected(const Fleet &Some, const std::string &Server);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_CALLERS_H
