#include "review/lab/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <strings.h>

namespace currantgauge::review {
namespace {

constexpr std::size_t ReadBytes = 65536;

sockaddr_in makeAddress(const std::string &Host, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  ::inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

bool readMore(Connection &Link, Clock::time_point Deadline) {
  if (!waitReadable(Link.Fd, Deadline))
    return false;
  std::string Bytes(ReadBytes, '\0');
  ssize_t Size = ::recv(Link.Fd, Bytes.data(), Bytes.size(), 0);
  if (Size <= 0)
    return false;
  Link.Input.append(Bytes, 0, static_cast<std::size_t>(Size));
  return true;
}

bool readLine(Connection &Link, std::string &Line, Clock::time_point Deadline) {
  std::size_t End = 0;
  while ((End = Link.Input.find("\r\n")) == std::string::npos)
    if (!readMore(Link, Deadline))
      return false;
  Line = Link.Input.substr(0, End);
  Link.Input.erase(0, End + 2);
  return true;
}

bool readBytes(Connection &Link, std::size_t Count, std::string &Bytes,
               Clock::time_point Deadline) {
  while (Link.Input.size() < Count)
    if (!readMore(Link, Deadline))
      return false;
  Bytes.append(Link.Input, 0, Count);
  Link.Input.erase(0, Count);
  return true;
}

bool readChunks(Connection &Link, std::string &Body,
                Clock::time_point Deadline) {
  std::string Line;
  while (readLine(Link, Line, Deadline)) {
    std::size_t Count = std::strtoul(Line.c_str(), nullptr, 16);
    bool Complete = Count == 0 || readBytes(Link, Count, Body, Deadline);
    if (!Complete || !readLine(Link, Line, Deadline))
      return false;
    if (Count == 0)
      return true;
  }
  return false;
}

} // namespace

std::string fieldOf(const HttpMessage &Message, const std::string &Name) {
  for (const auto &[Key, Value] : Message.Fields)
    if (::strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return {};
}

int statusOf(const HttpMessage &Answer) {
  std::size_t Space = Answer.StartLine.find(' ');
  return Space == std::string::npos
             ? 0
             : std::atoi(Answer.StartLine.c_str() + Space);
}

std::string formatMessage(const HttpMessage &Message) {
  std::string Text = Message.StartLine + "\r\n";
  for (const auto &[Name, Value] : Message.Fields)
    Text += Name + ": " + Value + "\r\n";
  bool IsGet = Message.StartLine.starts_with("GET ");
  if (!IsGet || !Message.Body.empty())
    Text += "Content-Length: " + std::to_string(Message.Body.size()) + "\r\n";
  return Text + "\r\n" + Message.Body;
}

bool writeAll(int Fd, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Size =
        ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

bool waitReadable(int Fd, Clock::time_point Deadline) {
  auto Left =
      std::chrono::duration_cast<Millis>(Deadline - Clock::now()).count();
  pollfd Poll{Fd, POLLIN, 0};
  return ::poll(&Poll, 1, static_cast<int>(std::max<std::int64_t>(Left, 0))) >
         0;
}

bool readMessage(Connection &Link, HttpMessage &Message,
                 Clock::time_point Deadline) {
  Message = HttpMessage();
  if (!readLine(Link, Message.StartLine, Deadline))
    return false;
  std::string Line;
  while (readLine(Link, Line, Deadline) && !Line.empty()) {
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return false;
    std::size_t Start = Line.find_first_not_of(' ', Colon + 1);
    Message.Fields.emplace_back(
        Line.substr(0, Colon),
        Start == std::string::npos ? "" : Line.substr(Start));
  }
  if (!Line.empty())
    return false;
  if (fieldOf(Message, "Transfer-Encoding") == "chunked")
    return readChunks(Link, Message.Body, Deadline);
  std::string Length = fieldOf(Message, "Content-Length");
  return readBytes(Link, std::strtoul(Length.c_str(), nullptr, 10),
                   Message.Body, Deadline);
}

int openListener(const std::string &Host, std::uint16_t Port,
                 std::string &Address) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Name = makeAddress(Host, Port);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Name), sizeof(Name)) != 0 ||
      ::listen(Fd, 256) != 0) {
    ::close(Fd);
    return -1;
  }
  socklen_t Size = sizeof(Name);
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Name), &Size);
  Address = Host + ":" + std::to_string(ntohs(Name.sin_port));
  return Fd;
}

std::uint16_t findFreePort(const std::string &Host) {
  std::string Address;
  int Fd = openListener(Host, 0, Address);
  ::close(Fd);
  return static_cast<std::uint16_t>(
      std::atoi(Address.c_str() + Address.rfind(':') + 1));
}

int openConnection(const std::string &Address, Millis Timeout) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Name = makeAddress(
      Address.substr(0, Colon),
      static_cast<std::uint16_t>(std::atoi(Address.c_str() + Colon + 1)));
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Name), sizeof(Name)) != 0) {
    pollfd Poll{Fd, POLLOUT, 0};
    int Error = errno;
    socklen_t Size = sizeof(Error);
    bool Pending = Error == EINPROGRESS &&
                   ::poll(&Poll, 1, static_cast<int>(Timeout.count())) > 0;
    if (Pending)
      ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (!Pending || Error != 0) {
      ::close(Fd);
      return -1;
    }
  }
  ::fcntl(Fd, F_SETFL, ::fcntl(Fd, F_GETFL) & ~O_NONBLOCK);
  int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Fd;
}

} // namespace currantgauge::review
