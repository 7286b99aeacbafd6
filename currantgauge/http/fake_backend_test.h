// A backend server whose bytes a test writes, and exchanges with it, all on one
// thread.
//
//   BackendFixture Fixture;
//   TestExchange First = Fixture.start("7");
//   Fixture.respond(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
//   CHECK(First.Result->Status == 200);
#ifndef CURRANTGAUGE_HTTP_FAKE_BACKEND_TEST_H
#define CURRANTGAUGE_HTTP_FAKE_BACKEND_TEST_H

#include "currantgauge/http/backend_client.h"
#include "currantgauge/runtime/answer_pipe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::http {

// TestExchange is an exchange that a test started; Result is set at its end.
struct TestExchange {
  BackendExchangePtr Handle;
  runtime::AnswerPipePtr Pipe;
  std::shared_ptr<std::optional<core::ExchangeOutcome>> Result;
};

// mayHaveRun() returns true if the exchange ended without a proof that the
// request did not run and without a complete answer.
inline bool mayHaveRun(const TestExchange &Exchange) {
  const auto &Outcome = *Exchange.Result;
  return Outcome && Outcome->AnyByteSent && !Outcome->AnswerComplete &&
         !Outcome->ConfirmedNotRun;
}

// forwardedStatus() returns the status of the answer that was passed on, or 0.
inline std::uint32_t forwardedStatus(const TestExchange &Exchange) {
  while (auto Part = runtime::popPart(*Exchange.Pipe))
    if (auto *Head = std::get_if<runtime::AnswerHead>(&*Part))
      return Head->Status;
  return 0;
}

// BackendFixture accepts connections as the backend server and keeps them in
// the order in which they were opened.
struct BackendFixture {
  using Tcp = boost::asio::ip::tcp;

  boost::asio::io_context Io;
  BackendPool Pool;
  HttpDialect Dialect;
  Tcp::acceptor Acceptor{
      this->Io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::vector<Tcp::socket> Connections;

  BackendFixture() {
    this->Dialect.TimeoutField = "Timeout";
    this->Dialect.AttemptIdField = "Attempt";
    this->Dialect.ForwardsAttemptId = true;
    this->Dialect.EchoesAttemptId = true;
    this->Dialect.NotRunField = "Not-Run";
    this->Dialect.SignatureField = "Signed";
    this->Dialect.CloseDelimitedIsComplete = true;
    this->Dialect.StatusConfirmsNotRun = true;
    this->Acceptor.non_blocking(true);
  }

  // Runs handlers for about 40 ms and accepts new connections.
  void runUntilIdle() {
    for (int Round = 0; Round < 20; ++Round) {
      this->Io.restart();
      this->Io.run_for(std::chrono::milliseconds(2));
      boost::system::error_code Error;
      Tcp::socket Accepted = this->Acceptor.accept(Error);
      if (!Error)
        this->Connections.push_back(std::move(Accepted));
    }
  }

  // Starts an exchange and runs it until the server has the request.
  TestExchange start(const std::string &AttemptId,
                     base::Duration TimeLeft = base::seconds(10)) {
    TestExchange Started{
        nullptr, runtime::AnswerPipePtr(new runtime::AnswerPipe),
        std::make_shared<std::optional<core::ExchangeOutcome>>()};
    ExchangeParams Params;
    Params.Address = base::NetAddress(
        "127.0.0.1:" + std::to_string(this->Acceptor.local_endpoint().port()));
    Params.TimeLeft = TimeLeft;
    Params.Dialect = &this->Dialect;
    Params.Message = runtime::RequestMessagePtr(new runtime::RequestMessage);
    Params.Message->Method = "POST";
    Params.Message->Target = "/";
    Params.Message->Headers = {{this->Dialect.AttemptIdField, AttemptId}};
    Params.Pipe = Started.Pipe;
    Started.Handle =
        startExchange(this->Pool, this->Io, std::move(Params),
                      [Result = Started.Result](core::ExchangeOutcome Outcome) {
                        *Result = Outcome;
                      });
    this->runUntilIdle();
    return Started;
  }

  // Returns what arrived on a connection since the last call.
  std::string received(std::size_t Index) {
    std::string Text(65536, '\0');
    boost::system::error_code Error;
    this->Connections.at(Index).non_blocking(true);
    Text.resize(
        this->Connections[Index].read_some(boost::asio::buffer(Text), Error));
    return Text;
  }

  void respond(std::size_t Index, const std::string &Text) {
    boost::asio::write(this->Connections.at(Index), boost::asio::buffer(Text));
    this->runUntilIdle();
  }
};

// makeAnswer() returns an answer with the given status and fields and no body.
inline std::string makeAnswer(unsigned Status, const std::string &Fields) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Fields +
         "Content-Length: 0\r\n\r\n";
}

// makeRefusalAnswer() returns an answer that confirms that the attempt did not
// run; without an id if AttemptId is empty.
inline std::string makeRefusalAnswer(const std::string &AttemptId) {
  std::string Echo = AttemptId.empty() ? "" : "Attempt: " + AttemptId + "\r\n";
  return makeAnswer(503, "Not-Run: 1\r\n" + Echo);
}

// makeSuccessAnswer() returns a signed success.
inline std::string makeSuccessAnswer(const std::string &AttemptId) {
  return makeAnswer(200, "Signed: x\r\nAttempt: " + AttemptId + "\r\n");
}

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_FAKE_BACKEND_TEST_H
