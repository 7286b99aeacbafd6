// Two clients send bodies as long as the operator's limits permit. The platform
// ends the process that exceeds its memory, and the requests of other clients
// that it had passed on end with it.
#include "review/lab/lab.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace {

using namespace currantgauge::review;
using nlohmann::json;

constexpr std::size_t MaxBodyBytes = 67108864; // "maxBodyBytes"
constexpr std::size_t SmallBodyBytes = 65536;
constexpr long MemoryMb = 260; // "memoryMb"
constexpr int LargeBodies = 2;
constexpr int OtherClients = 8;
constexpr Millis StabilityWindow{3000};

struct Trial {
  Fleet Machines;
  std::atomic<bool> Ended{false}; // the platform has killed a process
  std::atomic<long> PeakMb{0};
};

long residentMb(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::atol(Line.c_str() + 6) / 1024;
  return 0;
}

// The platform: ends a process that exceeds its memory.
void watchMemory(Lab &Bench, Trial &All) {
  std::thread([&] {
    while (true) {
      for (const Node &Process : All.Machines.Nodes) {
        long Used = residentMb(Process.Pid);
        All.PeakMb = std::max<long>(All.PeakMb, Used);
        if (Used <= MemoryMb || All.Ended)
          continue;
        All.Ended = true;
        ::kill(Process.Pid, SIGKILL);
        note(Bench, "the platform ends " + Process.Name + ", which uses " +
                        std::to_string(Used) + " MB of " +
                        std::to_string(MemoryMb));
      }
      std::this_thread::sleep_for(Millis(5));
    }
  }).detach();
}

// A client with a kept connection. Counts requests that were passed on to the
// target and whose connection closed without an answer.
int useConnection(Lab &Bench, Fleet &Machines, Clock::time_point End) {
  Connection Link{openConnection(Machines.Nodes[0].Outbound, Millis(1000)), ""};
  int Lost = 0;
  while (Clock::now() < End && Lost == 0) {
    std::string Attempt = newAttemptId();
    HttpMessage Answer;
    bool Answered =
        writeAll(
            Link.Fd,
            formatRequest({"POST", "/commits/7", "an order", 4000}, Attempt)) &&
        readMessage(Link, Answer, Clock::now() + Millis(6000));
    std::vector<Run> Runs = runsOf(Machines.Servers[0]);
    bool PassedOn = std::any_of(Runs.begin(), Runs.end(), [&](const Run &Item) {
      return Item.Attempt == Attempt;
    });
    if (!Answered)
      Lost += PassedOn ? 1 : 0;
    note(Bench, "POST /commits/7 " + Attempt + " -> " +
                    (Answered   ? std::to_string(statusOf(Answer))
                     : PassedOn ? "run by the target, closed without an answer"
                                : "closed, not passed on"));
    if (!Answered)
      break;
  }
  ::close(Link.Fd);
  return Lost;
}

} // namespace

int main(int, char **Values) {
  static Lab Bench;
  static Trial All;
  Fleet &Machines = All.Machines;
  openLab(Bench, Values[1], std::chrono::seconds(60));
  startFleet(Bench, Machines,
             {{"cutlist", "north-a", 16}, {"stocktally", "north-a", 16}},
             Millis(1500));
  writeConfig(
      Machines.Platform,
      makeDocument(
          "r7",
          {{"commit", makeRoute("/commits/", "cutlist", "non_idempotent")},
           {"tally", makeRoute("/tally/", "stocktally", "idempotent")}},
          {"cutlist", "stocktally"}));
  const Request Small{"POST", "/tally/7", "a list", 4000};
  bool Started =
      allReady(Machines) &&
      waitUntil(
          [&] { return sendRequest(Machines.Nodes[0], Small).Status == 200; },
          Millis(10000));
  if (!Started)
    closeLab(Bench, CouldNotRun);
  sleepUntil(Clock::now() + StabilityWindow);
  watchMemory(Bench, All);
  Machines.Servers[0].WorkMillis = 300;
  auto End = Clock::now() + Millis(8000);
  std::atomic<int> Lost{0};
  std::vector<std::thread> Threads;
  for (int I = 0; I < OtherClients; ++I)
    Threads.emplace_back([&] { Lost += useConnection(Bench, Machines, End); });
  sleepUntil(Clock::now() + Millis(2000));
  std::size_t Size = Bench.Trouble ? MaxBodyBytes : SmallBodyBytes;
  note(Bench, std::to_string(LargeBodies) + " clients of n1 send bodies of " +
                  std::to_string(Size) + " bytes");
  for (int I = 0; I < LargeBodies; ++I)
    Threads.emplace_back([&] {
      Answer Got =
          sendRequest(Machines.Nodes[0],
                      {"POST", "/tally/7", std::string(Size, 'x'), 4000});
      note(Bench, "POST /tally/7 " + Got.Attempt + " with " +
                      std::to_string(Size) + " bytes -> " +
                      std::to_string(Got.Status));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  note(Bench, "peak of a node: " + std::to_string(All.PeakMb) + " MB");
  note(Bench, std::to_string(Lost) +
                  " requests on kept connections were passed on to a sound "
                  "target and closed without an answer");
  closeLab(Bench, Lost > 3 ? RuleBroken : RuleHeld);
}
