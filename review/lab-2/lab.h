// A small fleet for one case: machines with a node process and a stand-in of
// its target each, and the record of what was sent, answered and run.
//
//   int check(Lab &Fleet) {
//     Machine &First = addMachine(Fleet, "orders", Slots, Answer);
//     startFleet(Fleet, Routes);
//     return finish(Fleet, Broken, "...");
//   }
//   int main(int Count, char **Values) { runCase(Count, Values, check); }
#ifndef REVIEW_LAB_2_LAB_H
#define REVIEW_LAB_2_LAB_H

#include "review/lab-2/net.h"
#include "review/lab-2/store.h"

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

struct Lab;

// Run is one request that a target began to work on.
struct Run {
  std::string Attempt;
  double At = 0; // seconds since the lab's start
};

// Target is a stand-in of the application beside a node. Answer writes the
// answer to a request on its connection.
struct Target {
  std::string Id, Service, Address;
  int Slots = 4;
  std::uint64_t Born = 0; // Unix milliseconds
  std::uint64_t Sequence = 0;
  std::atomic<bool> Beats{true};
  std::function<void(const Message &, Socket &)> Answer;
  std::mutex Lock;
  std::vector<Run> Runs;
  std::set<int> Open; // connections
  bool Ended = false; // it closes its connections and accepts no more
};

// Machine is a node process, its addresses and the target beside it.
struct Machine {
  std::string Name, Host, Zone;
  std::string Clients, Peers, Control, Ready; // IP:port
  std::string SettingsPath, LogPath;
  std::string OperatorsPort;
  std::unique_ptr<Target> Application;
  pid_t Process = -1;
  int Starts = 0;
};

// Lab holds all that a case has started. It is never destroyed, since its
// threads use it until the process ends.
struct Lab {
  Store Platform;
  std::vector<std::unique_ptr<Machine>> Machines;
  std::string Folder;
  Clock::time_point Begin = Clock::now();
  std::mutex RecordLock;
  std::ofstream Record;
  bool Trouble = true; // TROUBLE isn't 0 in the environment
};

// runCase() runs Check, ends all processes that it started, and exits with what
// it returned, or with 2 if it threw. The argument is the record's path.
[[noreturn]] void runCase(int Count, char **Values,
                          const std::function<int(Lab &)> &Check);

double secondsOf(const Lab &Fleet);
void pauseFor(Millis Span);
void note(Lab &Fleet, const std::string &Text);

// signatureFields() returns the header of an answer that a target made.
Fields signatureFields(const Message &Request);

// answerAfter() returns a target's way to answer: 200 with Body after Work.
std::function<void(const Message &, Socket &)> answerAfter(Millis Work,
                                                           std::string Body);

Machine &addMachine(Lab &Fleet, const std::string &Service, int Slots,
                    std::function<void(const Message &, Socket &)> Answer);

// startFleet() writes the configuration, starts the node processes and waits
// until all are ready and have learned of all targets.
void startFleet(Lab &Fleet, const nlohmann::json &Routes);

void startNode(Lab &Fleet, Machine &Place);
void signalNode(Lab &Fleet, Machine &Place, int Signal);

// reapNode() returns whether the node process has ended, and writes how to the
// record.
bool reapNode(Lab &Fleet, Machine &Place);

// residentBytes() returns the resident memory of the node process.
std::uint64_t residentBytes(const Machine &Place);

// sendBeat() sends a target's ping with this sequence number and state, and
// returns the status of its answer, or 0.
int sendBeat(Machine &Place, std::uint64_t Sequence, const std::string &State);

// sendDeregister() says that the target leaves; returns the status, or 0.
int sendDeregister(Machine &Place);

void endTarget(Machine &Place);

// countRuns() returns how often a request was begun, by all targets.
std::size_t countRuns(Lab &Fleet, const std::string &Attempt);

// requestFields() returns the header of a client's request.
Fields requestFields(const std::string &Attempt, int DeadlineMillis);

// finish() writes the verdict to the record and returns the exit code.
int finish(Lab &Fleet, bool Broken, const std::string &Text);

} // namespace review

#endif // REVIEW_LAB_2_LAB_H
