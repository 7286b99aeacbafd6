#include "currantgauge/runtime/traffic.h"

namespace currantgauge::runtime {

void startTraffic(TrafficThreads &Traffic, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    Traffic.Threads.push_back(std::make_unique<TrafficThread>());
  for (auto &Worker : Traffic.Threads)
    Worker->Thread = std::thread([&Io = Worker->Io] { Io.run(); });
}

void stopTraffic(TrafficThreads &Traffic) {
  for (auto &Worker : Traffic.Threads)
    Worker->Io.stop();
  for (auto &Worker : Traffic.Threads)
    if (Worker->Thread.joinable())
      Worker->Thread.join();
}

} // namespace currantgauge::runtime
