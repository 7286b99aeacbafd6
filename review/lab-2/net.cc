#include "review/lab-2/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <memory>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int Backlog = 512;

sockaddr_in parseAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  if (inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr) !=
      1)
    throw NetError("not an address: " + Address);
  return Result;
}

void setNoDelay(int Handle) {
  int One = 1;
  setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
}

int openListener(const std::string &Host, int &Port) {
  int Handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = parseAddress(Host + ":0");
  socklen_t Size = sizeof(Address);
  if (bind(Handle, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      listen(Handle, Backlog) != 0 ||
      getsockname(Handle, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    throw NetError("can't listen on " + Host);
  Port = ntohs(Address.sin_port);
  return Handle;
}

std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

std::string trim(const std::string &Text) {
  std::size_t First = Text.find_first_not_of(' ');
  std::size_t Last = Text.find_last_not_of(' ');
  return First == std::string::npos ? "" : Text.substr(First, Last - First + 1);
}

std::string formatFields(const Fields &Headers, std::size_t BodyBytes,
                         bool SendLength) {
  std::string Text;
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  if (SendLength)
    Text += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  return Text + "\r\n";
}

} // namespace

Socket::Socket(Socket &&Other) noexcept
    : Handle(std::exchange(Other.Handle, -1)), Input(std::move(Other.Input)) {}

Socket &Socket::operator=(Socket &&Other) noexcept {
  std::swap(this->Handle, Other.Handle);
  std::swap(this->Input, Other.Input);
  return *this;
}

Socket::~Socket() { closeSocket(*this); }

Socket connectTo(const std::string &Address, Millis Timeout, int ReceiveBytes) {
  Socket Conn(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (ReceiveBytes > 0)
    setsockopt(Conn.Handle, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof(ReceiveBytes));
  timeval Limit{Timeout.count() / 1000, (Timeout.count() % 1000) * 1000};
  setsockopt(Conn.Handle, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  setsockopt(Conn.Handle, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  setNoDelay(Conn.Handle);
  sockaddr_in To = parseAddress(Address);
  if (connect(Conn.Handle, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0)
    throw NetError("no connection: " + std::string(std::strerror(errno)));
  return Conn;
}

void closeSocket(Socket &Conn, bool Reset) {
  if (Conn.Handle < 0)
    return;
  linger Linger{1, 0};
  if (Reset)
    setsockopt(Conn.Handle, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
  close(std::exchange(Conn.Handle, -1));
}

void sendAll(Socket &Conn, const std::string &Bytes) {
  for (std::size_t Sent = 0; Sent < Bytes.size();) {
    ssize_t Size = send(Conn.Handle, Bytes.data() + Sent, Bytes.size() - Sent,
                        MSG_NOSIGNAL);
    if (Size <= 0)
      throw NetError("write failed: " + std::string(std::strerror(errno)));
    Sent += static_cast<std::size_t>(Size);
  }
}

std::string readSome(Socket &Conn) {
  if (!Conn.Input.empty())
    return std::exchange(Conn.Input, {});
  std::string Bytes(64 * 1024, '\0');
  ssize_t Size = recv(Conn.Handle, Bytes.data(), Bytes.size(), 0);
  if (Size == 0)
    throw NetError("closed");
  if (Size < 0)
    throw NetError(errno == EAGAIN ? "silent" : std::strerror(errno));
  Bytes.resize(static_cast<std::size_t>(Size));
  return Bytes;
}

Message readHead(Socket &Conn) {
  std::string Text;
  std::size_t End = std::string::npos;
  while ((End = Text.find("\r\n\r\n")) == std::string::npos)
    Text += readSome(Conn);
  Conn.Input = Text.substr(End + 4) + Conn.Input;
  Text.resize(End + 2);
  Message Result;
  std::size_t LineEnd = Text.find("\r\n");
  std::string Line = Text.substr(0, LineEnd);
  std::size_t Space = Line.find(' ');
  Result.First = Line.substr(0, Space);
  Result.Second =
      Space == std::string::npos
          ? ""
          : Line.substr(Space + 1, Line.find(' ', Space + 1) - Space - 1);
  for (std::size_t Begin = LineEnd + 2; Begin < Text.size();
       Begin = LineEnd + 2) {
    LineEnd = Text.find("\r\n", Begin);
    Line = Text.substr(Begin, LineEnd - Begin);
    std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos)
      Result.Headers[toLower(Line.substr(0, Colon))] =
          trim(Line.substr(Colon + 1));
  }
  return Result;
}

Message readMessage(Socket &Conn) {
  Message Result = readHead(Conn);
  auto Length = Result.Headers.find("content-length");
  std::size_t Size =
      Length == Result.Headers.end() ? 0 : std::stoul(Length->second);
  while (Result.Body.size() < Size)
    Result.Body += readSome(Conn);
  Conn.Input = Result.Body.substr(Size) + Conn.Input;
  Result.Body.resize(Size);
  return Result;
}

std::string formatRequest(const std::string &Method, const std::string &Target,
                          const Fields &Headers, const std::string &Body) {
  bool SendLength = !Body.empty() || Method == "POST";
  return Method + " " + Target + " HTTP/1.1\r\n" +
         formatFields(Headers, Body.size(), SendLength) + Body;
}

std::string formatAnswer(int Status, const Fields &Headers,
                         const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n" +
         formatFields(Headers, Body.size(), true) + Body;
}

std::string listenOn(const std::string &Host,
                     std::function<void(Socket &)> Serve) {
  int Port = 0;
  int Listener = openListener(Host, Port);
  std::thread([Listener, Serve = std::move(Serve)] {
    while (true) {
      int Handle = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Handle < 0)
        continue;
      setNoDelay(Handle);
      std::thread([Handle, Serve] {
        Socket Conn(Handle);
        try {
          Serve(Conn);
        } catch (const NetError &) {
          // The other side closed the connection.
        }
      }).detach();
    }
  }).detach();
  return Host + ":" + std::to_string(Port);
}

int findFreePort(const std::string &Host) {
  int Port = 0;
  Socket Probe(openListener(Host, Port));
  return Port;
}

} // namespace review
