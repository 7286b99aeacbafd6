#include "currantgauge/runtime/traffic.h"

namespace currantgauge::runtime {

void startTraffic(TrafficThreads &Traffic, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    Traffic.Threads.push_back(std::make_unique<TrafficThread>());
  for (auto &Each : Traffic.Threads)
    Each->Thread = std::thread([&Io = Each->Io] { Io.run(); });
}

void stopTraffic(TrafficThreads &Traffic) {
  for (auto &Each : Traffic.Threads)
    Each->Io.stop();
  for (auto &Each : Traffic.Threads)
    if (Each->Thread.joinable())
      Each->Thread.join();
}

} // namespace currantgauge::runtime
