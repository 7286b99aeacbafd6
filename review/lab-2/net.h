// Blocking sockets and HTTP/1.1 messages for the stand-ins of the cases.
//
//   Socket Conn = connectTo("127.0.0.1:8080", Millis(2000));
//   sendAll(Conn, formatRequest("GET", "/lists/7", {{"Host", "x.example"}},
//   "")); Message Answer = readMessage(Conn);
#ifndef REVIEW_LAB_2_NET_H
#define REVIEW_LAB_2_NET_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>

namespace review {

using Millis = std::chrono::milliseconds;
using Fields = std::map<std::string, std::string>; // names in lower case

// NetError is thrown when a connection fails, ends or stays silent for too
// long.
struct NetError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Socket owns a connection and the bytes that were read ahead.
struct Socket {
  int Handle = -1;
  std::string Input;

  Socket() = default;
  explicit Socket(int Handle) : Handle(Handle) {}
  Socket(Socket &&Other) noexcept;
  Socket &operator=(Socket &&Other) noexcept;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket();
};

// Message is a request or an answer. Words are the parts of its first line.
struct Message {
  std::string First, Second; // method and target, or version and status
  Fields Headers;
  std::string Body;
};

// connectTo() connects to "IP:port". Timeout bounds the wait for the connection
// and for each later read. ReceiveBytes: size of the receive buffer, 0 for the
// system's.
Socket connectTo(const std::string &Address, Millis Timeout,
                 int ReceiveBytes = 0);

// closeSocket() closes the connection; with Reset it is reset.
void closeSocket(Socket &Conn, bool Reset = false);

void sendAll(Socket &Conn, const std::string &Bytes);

// readSome() returns the next bytes, at most 64 KiB.
std::string readSome(Socket &Conn);

// readHead() reads up to the end of a message's header.
Message readHead(Socket &Conn);

// readMessage() reads a message whose body has a length or none.
Message readMessage(Socket &Conn);

std::string formatRequest(const std::string &Method, const std::string &Target,
                          const Fields &Headers, const std::string &Body);

std::string formatAnswer(int Status, const Fields &Headers,
                         const std::string &Body);

// listenOn() serves each connection of a new listener on a thread of its own
// and returns the listener's address. Runs until the process ends.
std::string listenOn(const std::string &Host,
                     std::function<void(Socket &)> Serve);

// findFreePort() returns a port that nobody listens on.
int findFreePort(const std::string &Host);

} // namespace review

#endif // REVIEW_LAB_2_NET_H
