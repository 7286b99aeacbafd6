// Blocking HTTP/1.1 over loopback sockets, for the stand-ins and clients of the
// review's cases.
//
//   Connection Link{openConnection("127.0.0.1:8080", Timeout), ""};
//   writeAll(Link.Fd, Request);
//   readMessage(Link, Answer, Clock::now() + Timeout);
#ifndef REVIEW_LAB_NET_H
#define REVIEW_LAB_NET_H

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// HttpMessage is a request or an answer.
struct HttpMessage {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
};

// Connection is a socket with the bytes that were read but not yet parsed.
struct Connection {
  int Fd = -1;
  std::string Input;
};

// fieldOf() returns the value of a header field, empty if it is missing.
std::string fieldOf(const HttpMessage &Message, const std::string &Name);

// statusOf() returns the status of an answer, 0 if there is none.
int statusOf(const HttpMessage &Answer);

// formatMessage() returns the bytes of a message with its Content-Length.
std::string formatMessage(const HttpMessage &Message);

// writeAll() returns false if the peer is gone.
bool writeAll(int Fd, const std::string &Bytes);

// readMessage() returns false if no complete message arrives by Deadline.
bool readMessage(Connection &Link, HttpMessage &Message,
                 Clock::time_point Deadline);

// openListener() returns a listening socket and sets Address to the one that
// was bound. Port 0 picks a free port.
int openListener(const std::string &Host, std::uint16_t Port,
                 std::string &Address);

// findFreePort() returns a port of Host that was free when called.
std::uint16_t findFreePort(const std::string &Host);

// openConnection() returns a connected socket, or -1.
int openConnection(const std::string &Address, Millis Timeout);

// waitReadable() returns false if Fd has no input by Deadline.
bool waitReadable(int Fd, Clock::time_point Deadline);

} // namespace currantgauge::review

#endif // REVIEW_LAB_NET_H
