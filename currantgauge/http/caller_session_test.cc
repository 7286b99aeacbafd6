#include "currantgauge/http/caller_session.h"

#include "currantgauge/runtime/answer_pipe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// One connection whose both ends are on this thread.
struct Link {
  asio::io_context Io;
  CallerContext Context;
  std::vector<runtime::ControlInput> Posted;
  tcp::socket Caller{this->Io};

  Link() {
    this->Context.Post = [this](runtime::ControlInput Input) {
      this->Posted.push_back(std::move(Input));
    };
    this->Context.Dialect = nativeDialect();
    this->Context.AnswerBuffer = base::ByteCount{65536};
    this->Context.DefaultLimits = {base::ByteCount{16384},
                                   base::ByteCount{65536}, base::seconds(5),
                                   base::seconds(5)};
    setCallerLimits(this->Context, config::CallerLimits());
    tcp::acceptor Acceptor(
        this->Io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    this->Caller.connect(Acceptor.local_endpoint());
    startCallerSession(Acceptor.accept(this->Io), this->Context);
    this->settle();
  }

  // The events that are due, and those that follow from them over loopback.
  void settle() {
    for (int Turn = 0; Turn < 20; ++Turn) {
      this->Io.restart();
      this->Io.run_for(std::chrono::milliseconds(2));
    }
  }

  void send(const std::string &Text) {
    asio::write(this->Caller, asio::buffer(Text));
    this->settle();
  }

  std::string received() {
    std::string Text(65536, '\0');
    boost::system::error_code Error;
    this->Caller.non_blocking(true);
    std::size_t Got = this->Caller.read_some(asio::buffer(Text), Error);
    Text.resize(Got);
    return Text;
  }
};

std::vector<const runtime::ControlInput *> arrivals(const Link &Between) {
  std::vector<const runtime::ControlInput *> Found;
  for (const runtime::ControlInput &Input : Between.Posted)
    if (std::holds_alternative<core::RequestArrived>(Input.Body))
      Found.push_back(&Input);
  return Found;
}

template <typename Event> std::size_t countOf(const Link &Between) {
  std::size_t Count = 0;
  for (const runtime::ControlInput &Input : Between.Posted)
    Count += std::holds_alternative<Event>(Input.Body) ? 1 : 0;
  return Count;
}

void answer(Link &Between, std::size_t Which, const std::string &Body) {
  const runtime::ControlInput &Input = *arrivals(Between).at(Which);
  runtime::CallerExchangePtr Caller = Input.Caller;
  base::RequestId Request =
      std::get<core::RequestArrived>(Input.Body).Facts.Request;
  base::AttemptId Attempt{1, Which + 1};
  runtime::AnswerPipePtr Pipe(new runtime::AnswerPipe);
  Caller->Attach(Attempt, Pipe);
  runtime::pushPart(*Pipe, runtime::AnswerHead{200, {}});
  runtime::pushPart(*Pipe, runtime::AnswerChunk{Body});
  runtime::AnswerEnd End;
  End.Outcome.Verdict = base::Verdict::Ran;
  runtime::pushPart(*Pipe, End);
  Between.settle();
  Caller->Deliver(core::DeliverAnswer{Request, Attempt, {}, {}});
  Between.settle();
}

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: A.example:80\r\n\r\n";
}

} // namespace

TEST_CASE("pipelined requests run at once, answers keep their order") {
  Link Between;
  Between.send(get("/1") + get("/2") + get("/3"));
  REQUIRE(arrivals(Between).size() == 3);
  answer(Between, 2, "third");
  answer(Between, 1, "second");
  CHECK(countOf<core::AttemptEnded>(Between) == 2);
  CHECK(Between.received().empty());
  answer(Between, 0, "first");
  std::string Text = Between.received();
  std::size_t First = Text.find("first"), Second = Text.find("second"),
              Third = Text.find("third");
  REQUIRE(Third != std::string::npos);
  CHECK(First < Second);
  CHECK(Second < Third);
}

TEST_CASE("a caller that leaves gives up all its requests") {
  Link Between;
  Between.send(get("/1") + get("/2"));
  Between.Caller.close();
  Between.settle();
  CHECK(countOf<core::CallerGone>(Between) == 2);
}

TEST_CASE("a chunked body arrives whole, the host without its port") {
  Link Between;
  Between.send("POST /p HTTP/1.1\r\nHost: A.example:80\r\n"
               "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
               "0\r\n\r\n");
  REQUIRE(arrivals(Between).size() == 1);
  const runtime::ControlInput &Input = *arrivals(Between).front();
  CHECK(Input.Message->Body == "abcde");
  CHECK(std::get<core::RequestArrived>(Input.Body).Facts.Host == "a.example");
}

TEST_CASE("a malformed request is refused behind the answers before it") {
  Link Between;
  Between.send(get("/1") + "NONSENSE\r\n\r\n");
  REQUIRE(arrivals(Between).size() == 1);
  CHECK(countOf<core::InputRefused>(Between) == 1);
  CHECK(Between.received().empty());
  answer(Between, 0, "first");
  std::string Text = Between.received();
  CHECK(Text.find("first") < Text.find("400 Bad Request"));
  CHECK(Text.find("Connection: close") != std::string::npos);
}

TEST_CASE("while the node stops the last answer closes the connection") {
  Link Between;
  Between.send(get("/1") + get("/2"));
  Between.Context.Stopping = true;
  answer(Between, 0, "first");
  CHECK(Between.received().find("Connection: close") == std::string::npos);
  answer(Between, 1, "second");
  CHECK(Between.received().find("Connection: close") != std::string::npos);
}

TEST_CASE("an idle connection is closed, one that waits for an answer is not") {
  Link Between;
  setCallerLimits(Between.Context, {{}, {}, {}, base::milliseconds(20)});
  Between.send(get("/1"));
  Between.settle();
  answer(Between, 0, "first");
  CHECK(Between.received().find("first") != std::string::npos);
  boost::system::error_code Error = asio::error::would_block;
  char Byte = 0;
  for (int Turn = 0; Turn < 100 && Error == asio::error::would_block; ++Turn) {
    Between.settle();
    Between.Caller.read_some(asio::buffer(&Byte, 1), Error);
  }
  CHECK(Error == asio::error::eof);
}

} // namespace currantgauge::http
