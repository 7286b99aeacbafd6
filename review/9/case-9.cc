// A node acknowledges that its target leaves, and all node processes are killed
// soon after. A ping that the target sent before arrives late; the new process
// takes the target for ready and sends it work again.
#include "review/lab-2/lab.h"

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace review;

constexpr Millis Work{300};
constexpr int Slots = 4;
constexpr int DeadlineMillis = 3000;
constexpr Millis ClientTimeout{4000};
constexpr Millis OrderInterval{50};
constexpr int ClientsPerMachine = 3;
constexpr Millis LastBeatLead{700}; // after the last ping that isn't late
constexpr Millis KillDelay{700};    // after the acknowledgement
constexpr Millis RestartDelay{500};
constexpr Millis PingLateness{3000};
constexpr Millis InTouchAfter{3200}; // stabilityWindowMs, and some more
constexpr double DrainSeconds = 2;   // drainMs
constexpr double ServesSeconds = 9;  // after the acknowledgement

struct Orders {
  std::atomic<bool> Stop{false};
  std::mutex Lock;
  std::map<std::string, std::string> Results; // by attempt
};

void placeOrders(Lab &Fleet, const Machine &Place, int Client, Orders &All) {
  for (int Number = 0; !All.Stop; ++Number) {
    std::string Attempt = Place.Name + "-" + std::to_string(Client) + "-" +
                          std::to_string(Number);
    std::string Result;
    note(Fleet, "order " + Attempt + " sent to " + Place.Name);
    try {
      Socket Conn = connectTo(Place.Clients, ClientTimeout);
      sendAll(Conn,
              formatRequest("POST", "/orders/1",
                            requestFields(Attempt, DeadlineMillis), "order"));
      Result = readMessage(Conn).Second;
    } catch (const NetError &Failure) {
      Result = Failure.what();
    }
    note(Fleet, "order " + Attempt + ": " + Result);
    {
      std::lock_guard<std::mutex> Guard(All.Lock);
      All.Results[Attempt] = Result;
    }
    pauseFor(OrderInterval);
  }
}

void restartAll(Lab &Fleet) {
  for (const auto &Place : Fleet.Machines)
    signalNode(Fleet, *Place, SIGKILL);
  pauseFor(RestartDelay);
  for (const auto &Place : Fleet.Machines) {
    reapNode(Fleet, *Place);
    startNode(Fleet, *Place);
  }
}

int check(Lab &Fleet) {
  Machine &Left = addMachine(Fleet, "orders", Slots, answerAfter(Work, "done"));
  addMachine(Fleet, "orders", Slots, answerAfter(Work, "done"));
  startFleet(Fleet, {{"orders", makeRoute("/orders/", "orders",
                                          "non_idempotent", DeadlineMillis)}});
  Target &Leaving = *Left.Application;
  Leaving.Beats = false;
  pauseFor(LastBeatLead);
  std::uint64_t LateSequence = ++Leaving.Sequence;
  auto PingSent = Clock::now();
  note(Fleet, "ping " + std::to_string(LateSequence) + " of " + Leaving.Id +
                  " sent; it is under way");
  pauseFor(Millis(100));
  int Status = sendDeregister(Left);
  double Acknowledged = secondsOf(Fleet);
  note(Fleet, Leaving.Id + " says that it leaves: " + std::to_string(Status));
  if (Status != 200)
    throw std::runtime_error("the departure was not acknowledged");
  pauseFor(KillDelay);
  if (Fleet.Trouble)
    restartAll(Fleet);
  auto Restarted = Clock::now();
  std::this_thread::sleep_until(PingSent + PingLateness);
  note(Fleet, "the late ping arrives: " +
                  std::to_string(sendBeat(Left, LateSequence, "ready")));
  std::this_thread::sleep_until(Restarted + InTouchAfter);
  Orders All;
  std::vector<std::thread> Clients;
  for (const auto &Place : Fleet.Machines)
    for (int I = 0; I < ClientsPerMachine; ++I)
      Clients.emplace_back(
          [&Fleet, &All, &Place, I] { placeOrders(Fleet, *Place, I, All); });
  while (secondsOf(Fleet) < Acknowledged + ServesSeconds)
    pauseFor(Millis(20));
  note(Fleet, Leaving.Id + " ends");
  endTarget(Left);
  pauseFor(Millis(500));
  All.Stop = true;
  for (std::thread &Client : Clients)
    Client.join();
  int Late = 0, Lost = 0;
  std::lock_guard<std::mutex> Guard(Leaving.Lock);
  for (const Run &Begun : Leaving.Runs) {
    if (Begun.At <= Acknowledged + DrainSeconds)
      continue;
    ++Late;
    note(Fleet, Leaving.Id + " was sent " + Begun.Attempt + " " +
                    std::to_string(Begun.At - Acknowledged) +
                    " s after the acknowledgement");
    Lost += All.Results[Begun.Attempt] == "200" ? 0 : 1;
  }
  return finish(Fleet, Late > 0,
                std::to_string(Late) +
                    " orders reached the target that had "
                    "left, " +
                    std::to_string(Lost) + " of them got no success");
}

} // namespace

int main(int Count, char **Values) { runCase(Count, Values, check); }
