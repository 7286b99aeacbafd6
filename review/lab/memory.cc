#include "review/lab/memory.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace currantgauge::review {
namespace {

long residentMb(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::atol(Line.c_str() + 6) / 1024;
  return 0;
}

bool hasRun(Target &Server, const std::string &Attempt) {
  std::vector<Run> Runs = runsOf(Server);
  return std::any_of(Runs.begin(), Runs.end(),
                     [&](const Run &Item) { return Item.Attempt == Attempt; });
}

} // namespace

void watchMemory(Lab &Bench, const Fleet &Machines, MemoryWatch &Watch) {
  std::thread([&] {
    while (!Watch.Ended) {
      for (const Node &Process : Machines.Nodes) {
        long Used = residentMb(Process.Pid);
        Watch.PeakMb = std::max<long>(Watch.PeakMb, Used);
        if (Used <= MemoryMb)
          continue;
        Watch.Ended = true;
        ::kill(Process.Pid, SIGKILL);
        note(Bench, "the platform ends " + Process.Name + ", which uses " +
                        std::to_string(Used) + " MB of " +
                        std::to_string(MemoryMb));
        break;
      }
      std::this_thread::sleep_for(Millis(5));
    }
  }).detach();
}

int useConnection(Lab &Bench, const Node &Entry, Target &Server,
                  Clock::time_point End) {
  Connection Link{openConnection(Entry.Outbound, Millis(1000)), ""};
  bool Open = Link.Fd >= 0;
  int Lost = 0;
  while (Open && Clock::now() < End) {
    std::string Attempt = newAttemptId();
    HttpMessage Answer;
    Open = writeAll(Link.Fd,
                    formatRequest({"POST", "/commits/7", "an order", 4000},
                                  Attempt)) &&
           readMessage(Link, Answer, Clock::now() + Millis(6000));
    bool PassedOn = !Open && hasRun(Server, Attempt);
    Lost += PassedOn ? 1 : 0;
    note(Bench, "POST /commits/7 " + Attempt + " at " + Entry.Name + " -> " +
                    (Open       ? std::to_string(statusOf(Answer))
                     : PassedOn ? "run by the target, closed without an answer"
                                : "closed, not passed on"));
  }
  ::close(Link.Fd);
  return Lost;
}

} // namespace currantgauge::review
