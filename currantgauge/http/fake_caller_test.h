// A caller's session whose other end a test plays, both on one thread.
//
//   SessionFixture Fixture;
//   Fixture.send(getRequest("/a"));
//   answerRequest(Fixture, 0, "body");
//   CHECK(Fixture.readAvailable().starts_with("HTTP/1.1 200"));
#ifndef CURRANTGAUGE_HTTP_FAKE_CALLER_TEST_H
#define CURRANTGAUGE_HTTP_FAKE_CALLER_TEST_H

#include "currantgauge/http/caller_session.h"
#include "currantgauge/runtime/answer_pipe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::http {

// SessionFixture runs a session and the caller's end of its connection on one
// thread.
struct SessionFixture {
  CallerContext Context; // outlives the session, which Io destroys
  boost::asio::io_context Io;
  std::vector<runtime::ControlInput> Posted;
  boost::asio::ip::tcp::socket Caller{this->Io};

  // A BufferSize of 0 bytes leaves the socket buffers at their default size.
  explicit SessionFixture(int BufferSize = 0) {
    this->Context.Post = [this](runtime::ControlInput Input) {
      this->Posted.push_back(std::move(Input));
    };
    this->Context.Dialect = nativeDialect();
    this->Context.AnswerBuffer = base::ByteCount{65536};
    this->Context.DefaultLimits = {base::ByteCount{16384},
                                   base::ByteCount{65536}, base::seconds(5),
                                   base::seconds(5)};
    setCallerLimits(this->Context, config::CallerLimits());
    boost::asio::ip::tcp::acceptor Acceptor(
        this->Io, boost::asio::ip::tcp::endpoint(
                      boost::asio::ip::make_address("127.0.0.1"), 0));
    this->Caller.open(boost::asio::ip::tcp::v4());
    if (BufferSize > 0)
      this->Caller.set_option(
          boost::asio::socket_base::receive_buffer_size(BufferSize));
    this->Caller.connect(Acceptor.local_endpoint());
    boost::asio::ip::tcp::socket Socket = Acceptor.accept(this->Io);
    if (BufferSize > 0)
      Socket.set_option(boost::asio::socket_base::send_buffer_size(BufferSize));
    startCallerSession(std::move(Socket), this->Context);
    this->runUntilIdle();
  }

  // Runs handlers for about 40 ms: those that are ready, and those that become
  // ready when their data arrives over loopback.
  void runUntilIdle() {
    for (int Round = 0; Round < 20; ++Round) {
      this->Io.restart();
      this->Io.run_for(std::chrono::milliseconds(2));
    }
  }

  void send(const std::string &Text) {
    boost::asio::write(this->Caller, boost::asio::buffer(Text));
    this->runUntilIdle();
  }

  // Sends while the session doesn't run, so that its next poll finds both the
  // bytes and the expired idle timer.
  void sendAsIdleTimerExpires(const std::string &Text) {
    std::this_thread::sleep_for(
        std::chrono::microseconds(this->Context.IdleMicros));
    this->send(Text);
  }

  // Reads until the connection ends, for 4 s at most.
  std::string readToEnd() {
    std::string Text;
    std::string Part(65536, '\0');
    boost::system::error_code Error;
    this->Caller.non_blocking(true);
    for (int Round = 0; Round < 100; ++Round) {
      this->runUntilIdle();
      std::size_t Size =
          this->Caller.read_some(boost::asio::buffer(Part), Error);
      Text.append(Part, 0, Size);
      if (Error && Error != boost::asio::error::would_block)
        break;
    }
    return Text;
  }

  std::string readAvailable() {
    std::string Text(65536, '\0');
    boost::system::error_code Error;
    this->Caller.non_blocking(true);
    std::size_t Size = this->Caller.read_some(boost::asio::buffer(Text), Error);
    Text.resize(Size);
    return Text;
  }
};

inline std::vector<const runtime::ControlInput *>
arrivedRequests(const SessionFixture &Fixture) {
  std::vector<const runtime::ControlInput *> Arrived;
  for (const runtime::ControlInput &Input : Fixture.Posted)
    if (std::holds_alternative<core::RequestArrived>(Input.Body))
      Arrived.push_back(&Input);
  return Arrived;
}

template <typename Event>
std::size_t countEvents(const SessionFixture &Fixture) {
  std::size_t Count = 0;
  for (const runtime::ControlInput &Input : Fixture.Posted)
    Count += std::holds_alternative<Event>(Input.Body) ? 1 : 0;
  return Count;
}

inline void pushAnswer(runtime::AnswerPipe &Pipe, const std::string &Body) {
  runtime::pushPart(Pipe, runtime::AnswerHead{200, {}});
  runtime::pushPart(Pipe, runtime::AnswerChunk{Body});
  runtime::AnswerEnd End;
  End.Outcome.Verdict = base::Verdict::Ran;
  runtime::pushPart(Pipe, End);
}

inline void answerRequest(SessionFixture &Fixture, std::size_t Index,
                          const std::string &Body) {
  const runtime::ControlInput &Input = *arrivedRequests(Fixture).at(Index);
  runtime::CallerExchangePtr Caller = Input.Caller;
  base::RequestId Request =
      std::get<core::RequestArrived>(Input.Body).Facts.Request;
  base::AttemptId Attempt{1, Index + 1};
  runtime::AnswerPipePtr Pipe(new runtime::AnswerPipe);
  Caller->Attach(Attempt, Pipe, {});
  pushAnswer(*Pipe, Body);
  Fixture.runUntilIdle();
  Caller->Deliver(core::DeliverAnswer{Request, Attempt, {}, {}});
  Fixture.runUntilIdle();
}

inline std::string getRequest(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: A.example:80\r\n\r\n";
}

inline const std::string PostHead =
    "POST /p HTTP/1.1\r\nHost: A.example:80\r\nContent-Length: 6\r\n\r\n";

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_FAKE_CALLER_TEST_H
