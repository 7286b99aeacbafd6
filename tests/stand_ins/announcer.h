// Announces the backend server stand-in to its node.
//
//   AnnouncerState Announcer{...};
//   boost::asio::co_spawn(Io, announceLoop(Announcer), boost::asio::detached);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_ANNOUNCER_H
#define CURRANTGAUGE_TESTS_STAND_INS_ANNOUNCER_H

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace currantgauge::stand_ins {

// AnnouncerState is what a backend server announces. It must outlive the loop.
struct AnnouncerState {
  std::string Name;
  std::string Service;
  std::string Node;    // announce address of the node, IP:port
  std::string Address; // announced address of the backend server
  std::string State = "ready";
  std::uint64_t Incarnation = 0; // start time in ns of the system clock
  int Slots = 1;
  int ColdStartMillis = 0;
  bool Paused = false;
  bool UsesMachineProtocol = false; // else the node's native protocol
  std::uint64_t Sequence = 0;       // of heartbeats; machine protocol only
  std::string AcknowledgedState;    // the last State that the node accepted
};

// announceOnce() sends one announcement, also while Paused is set. It neither
// retries nor reports a failure.
boost::asio::awaitable<void> announceOnce(AnnouncerState &Announcer);

// announceLoop() announces again one second after an accepted announcement and
// 100 ms after a failed one. Sends nothing while Paused is set. Never returns.
boost::asio::awaitable<void> announceLoop(AnnouncerState &Announcer);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_ANNOUNCER_H
