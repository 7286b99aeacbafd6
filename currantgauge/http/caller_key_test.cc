// Tests how the key of a caller is read, and that it ends at the entry.
#include "currantgauge/http/caller_answer.h"
#include "currantgauge/http/caller_request.h"
#include "currantgauge/http/fake_backend_test.h"
#include "currantgauge/http/fake_caller_test.h"
#include "currantgauge/identity/key_hash.h"

#include <boost/beast/core/string.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::http {
namespace {

std::string requestWithFields(const std::string &Path,
                              const std::string &Fields) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a.example\r\n" + Fields + "\r\n";
}

std::vector<base::KeyHash> arrivedKeys(const SessionFixture &Fixture) {
  std::vector<base::KeyHash> Keys;
  for (const runtime::ControlInput *Input : arrivedRequests(Fixture))
    Keys.push_back(std::get<core::RequestArrived>(Input->Body).Facts.Key);
  return Keys;
}

base::KeyHash readKeyOf(const std::string &Fields) {
  SessionFixture Fixture;
  Fixture.send(requestWithFields("/1", Fields));
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  return arrivedKeys(Fixture).at(0);
}

void refuseRequest(SessionFixture &Fixture, std::size_t Index,
                   base::Reason Reason) {
  const runtime::ControlInput &Input = *arrivedRequests(Fixture).at(Index);
  core::RefuseRequest Refusal;
  Refusal.Request = std::get<core::RequestArrived>(Input.Body).Facts.Request;
  Refusal.Reason = Reason;
  Input.Caller->Refuse(Refusal);
  Fixture.runUntilIdle();
}

std::string sendWithWorkspace(const base::WorkspaceName &Workspace) {
  BackendFixture Fixture;
  Fixture.Dialect.SentWorkspaceField = "Workspace";
  runtime::RequestMessagePtr Message(new runtime::RequestMessage);
  Message->Method = "GET";
  Message->Target = "/";
  Message->Headers = {
      {"Attempt", "7"}, {"Workspace", "forged"}, {"workspace", "forged-again"}};
  ExchangeParams Params;
  Params.Address = base::NetAddress(
      "127.0.0.1:" + std::to_string(Fixture.Acceptor.local_endpoint().port()));
  Params.TimeLeft = base::seconds(10);
  Params.Dialect = &Fixture.Dialect;
  Params.Message = Message;
  Params.Workspace = Workspace;
  Params.Pipe = runtime::AnswerPipePtr(new runtime::AnswerPipe);
  startExchange(Fixture.Pool, Fixture.Io, std::move(Params),
                [](const core::ExchangeOutcome &) {});
  Fixture.runUntilIdle();
  REQUIRE(Fixture.Connections.size() == 1);
  return Fixture.received(0);
}

} // namespace

TEST_CASE("the key is read from its field, which holds the key alone") {
  CHECK(readKeyOf("Currantgauge-Key: k-1\r\n") == identity::hashKey("k-1"));
  CHECK(readKeyOf("currantgauge-KEY:   k-1  \r\n") == identity::hashKey("k-1"));
  CHECK(readKeyOf("Currantgauge-Key: Bearer k-1\r\n") !=
        identity::hashKey("k-1"));
  CHECK(readKeyOf("").empty());
  CHECK(readKeyOf("Currantgauge-Key:\r\n").empty());
}

TEST_CASE("several fields with keys count as no key") {
  CHECK(
      readKeyOf("Currantgauge-Key: k-1\r\nCurrantgauge-Key: k-1\r\n").empty());
  CHECK(
      readKeyOf("Currantgauge-Key: k-1\r\ncurrantgauge-key: k-2\r\n").empty());
}

TEST_CASE("the message for backend servers holds the key in no field") {
  SessionFixture Fixture;
  Fixture.send(requestWithFields("/1", "currantgauge-KEY: topsecret\r\n"
                                       "Connection: X-Other, keep-alive\r\n"
                                       "X-Other: 1\r\nX-Kept: 2\r\n"
                                       "Currantgauge-Key: topsecret2\r\n"));
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  const runtime::RequestMessagePtr &Message =
      arrivedRequests(Fixture).at(0)->Message;
  REQUIRE(Message);
  CHECK(std::any_of(Message->Headers.begin(), Message->Headers.end(),
                    [](const auto &Field) { return Field.first == "X-Kept"; }));
  for (const auto &[Name, Value] : Message->Headers) {
    CHECK_FALSE(boost::beast::iequals(Name, "Currantgauge-Key"));
    CHECK(Value.find("topsecret") == std::string::npos);
  }
}

TEST_CASE("each pipelined request is identified by its own key") {
  SessionFixture Fixture;
  Fixture.send(requestWithFields("/1", "Currantgauge-Key: k-1\r\n") +
               requestWithFields("/2", "") +
               requestWithFields("/3", "Currantgauge-Key: k-3\r\n"));
  std::vector<base::KeyHash> Keys = arrivedKeys(Fixture);
  REQUIRE(Keys.size() == 3);
  CHECK(Keys[0] == identity::hashKey("k-1"));
  CHECK(Keys[1].empty());
  CHECK(Keys[2] == identity::hashKey("k-3"));
}

TEST_CASE("a key refused on an open connection ends neither the connection nor "
          "the requests around it") {
  SessionFixture Fixture;
  Fixture.send(requestWithFields("/1", "Currantgauge-Key: k-1\r\n") +
               requestWithFields("/2", "Currantgauge-Key: revoked\r\n") +
               requestWithFields("/3", "Currantgauge-Key: k-1\r\n"));
  refuseRequest(Fixture, 1, base::Reason::UnknownKey);
  answerRequest(Fixture, 0, "first");
  answerRequest(Fixture, 2, "third");
  std::string Text = Fixture.readAvailable();
  std::size_t First = Text.find("first"), Refusal = Text.find("HTTP/1.1 401"),
              Third = Text.find("third");
  REQUIRE(Third != std::string::npos);
  CHECK(First < Refusal);
  CHECK(Refusal < Third);
  CHECK(Text.find("revoked") == std::string::npos);
}

TEST_CASE("an unknown key is 401 in every dialect and names no time to retry") {
  HttpDialect Confirming = nativeDialect();
  Confirming.StatusConfirmsNotRun = true;
  for (const HttpDialect &Dialect : {nativeDialect(), Confirming}) {
    core::RefuseRequest Refusal;
    Refusal.Reason = base::Reason::UnknownKey;
    TextResponse Answer = makeRefusal(Refusal, Dialect, true);
    CHECK(Answer.result() == boost::beast::http::status::unauthorized);
    CHECK(Answer.count(boost::beast::http::field::retry_after) == 0);
  }
}

TEST_CASE("a workspace field of the caller is replaced or removed") {
  std::string Sent = sendWithWorkspace(base::WorkspaceName("depot"));
  CHECK(Sent.find("Workspace: depot\r\n") != std::string::npos);
  CHECK(Sent.find("forged") == std::string::npos);
  Sent = sendWithWorkspace({});
  CHECK(Sent.find("Attempt: 7\r\n") != std::string::npos);
  CHECK(Sent.find("orkspace") == std::string::npos);
}

} // namespace currantgauge::http
