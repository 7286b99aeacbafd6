// A faulty target answers four requests with small chunks without end, until
// its caller closes. The platform ends the process that exceeds its memory, and
// the requests of other clients that it had passed on end with it.
#include "review/lab/memory.h"

#include <thread>

namespace {

using namespace currantgauge::review;

constexpr std::size_t ChunksPerWrite = 8192;
constexpr int Readers = 4; // as many as the target has slots
constexpr int OtherClients = 8;
constexpr Millis StabilityWindow{3000};

bool answerWithoutEnd(Lab &Bench, int Fd, const HttpMessage &Call) {
  if (Call.StartLine.find(" /tally/13 ") == std::string::npos)
    return false;
  std::string Attempt = fieldOf(Call, "Currantgauge-Attempt-Id");
  note(Bench, "i-2 answers " + Attempt + " with chunks of 8 bytes");
  std::string Head = "HTTP/1.1 200 OK\r\nCurrantgauge-Attempt-Id: " + Attempt +
                     "\r\nCurrantgauge-Response-Signature: of-" + Attempt +
                     "\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string Chunks;
  for (std::size_t I = 0; I < ChunksPerWrite; ++I)
    Chunks += "8\r\nxxxxxxxx\r\n";
  std::size_t Written = 0;
  if (writeAll(Fd, Head))
    while (writeAll(Fd, Chunks))
      Written += ChunksPerWrite;
  note(Bench, "the caller of i-2 has closed, after " +
                  std::to_string(Written / 1000) + " thousand chunks");
  return true;
}

} // namespace

int main(int, char **Values) {
  static Lab Bench;
  static Fleet All;
  static MemoryWatch Watch;
  openLab(Bench, Values[1], std::chrono::seconds(60));
  startFleet(Bench, All,
             {{"cutlist", "north-a", 16}, {"stocktally", "north-a", 4}},
             Millis(1500));
  writeConfig(
      All.Platform,
      makeDocument(
          "r7",
          {{"commit", makeRoute("/commits/", "cutlist", "non_idempotent")},
           {"tally", makeRoute("/tally/", "stocktally", "idempotent")}},
          {"cutlist", "stocktally"}));
  const Request Order{"POST", "/commits/7", "an order", 4000};
  const Request Tally{"GET", "/tally/7", "", 4000};
  auto Serves = [&] {
    return sendRequest(All.Nodes[1], Order).Status == 200 &&
           sendRequest(All.Nodes[0], Tally).Status == 200;
  };
  if (!allReady(All) || !waitUntil(Serves, Millis(10000)))
    closeLab(Bench, CouldNotRun);
  sleepUntil(Clock::now() + StabilityWindow);
  watchMemory(Bench, All, Watch);
  if (Bench.Trouble)
    All.Servers[1].OnCall = [](int Fd, const HttpMessage &Call) {
      return answerWithoutEnd(Bench, Fd, Call);
    };
  All.Servers[0].WorkMillis = 300;
  auto End = Clock::now() + Millis(9000);
  std::atomic<int> Lost{0};
  std::vector<std::thread> Threads;
  for (int I = 0; I < OtherClients; ++I)
    Threads.emplace_back([&] {
      Lost += useConnection(Bench, All.Nodes[1], All.Servers[0], End);
    });
  sleepUntil(Clock::now() + Millis(2000));
  for (int I = 0; I < Readers; ++I)
    Threads.emplace_back([&] {
      Answer Got = sendRequest(All.Nodes[0], {"GET", "/tally/13", "", 4000});
      note(Bench, "GET /tally/13 " + Got.Attempt + " at n1 -> " +
                      (Got.Status == 0 ? "cut" : std::to_string(Got.Status)));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  note(Bench, "peak of a node: " + std::to_string(Watch.PeakMb) + " MB");
  note(Bench, std::to_string(Lost) +
                  " requests on kept connections were passed on to a sound "
                  "target and closed without an answer");
  closeLab(Bench, Lost > 3 ? RuleBroken : RuleHeld);
}
