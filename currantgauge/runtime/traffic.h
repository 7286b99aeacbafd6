// The traffic threads: each runs an Asio io_context and blocks while idle.
//
//   TrafficThreads Traffic;
//   startTraffic(Traffic, 2);
//   boost::asio::post(nextContext(Traffic), Work);
#ifndef CURRANTGAUGE_RUNTIME_TRAFFIC_H
#define CURRANTGAUGE_RUNTIME_TRAFFIC_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace currantgauge::runtime {

// TrafficThread is one thread and its io_context.
struct TrafficThread {
  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Io.get_executor()};
  std::thread Thread;
};

// TrafficThreads is the pool of traffic threads of a node.
struct TrafficThreads {
  std::vector<std::unique_ptr<TrafficThread>> Threads;
  std::atomic<std::uint64_t> NextThread{0}; // modulo Threads.size()
};

void startTraffic(TrafficThreads &Traffic, std::size_t Count);
// stopTraffic() discards pending work and joins the threads.
void stopTraffic(TrafficThreads &Traffic);

// nextContext() returns the next io_context in round-robin order.
inline boost::asio::io_context &nextContext(TrafficThreads &Traffic) {
  return Traffic.Threads[Traffic.NextThread++ % Traffic.Threads.size()]->Io;
}

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_TRAFFIC_H
