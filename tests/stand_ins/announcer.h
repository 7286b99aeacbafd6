// How the stand-in of a backend server announces itself to its node.
//
//   Announcer Word{...};
//   boost::asio::co_spawn(Io, announceLoop(Word), boost::asio::detached);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_ANNOUNCER_H
#define CURRANTGAUGE_TESTS_STAND_INS_ANNOUNCER_H

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace currantgauge::stand_ins {

// Announcer is what a backend server says of itself; it outlives the loop.
struct AnnouncerState {
  std::string Name;
  std::string Service;
  std::string Node;    // announce address of the node, IP:port
  std::string Address; // where the backend server listens
  std::string State = "ready";
  std::uint64_t Incarnation = 0;
  int Slots = 1;
  int ColdStartMillis = 0;
  bool Paused = false;
  bool UsesMachineProtocol = false; // the protocol of the machines' platform
  std::uint64_t Sequence = 0;       // of heartbeats, with UsesMachineProtocol
  std::string AcknowledgedState;    // the last State that a node took
};

// announceOnce() sends one announcement; a failure is left to the next one.
boost::asio::awaitable<void> announceOnce(AnnouncerState &Announcer);

// announceLoop() renews every second, for ever.
boost::asio::awaitable<void> announceLoop(AnnouncerState &Announcer);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_ANNOUNCER_H
