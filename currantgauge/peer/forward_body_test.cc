// The bodies of requests that an entry sends to an owner in several messages.
#include "currantgauge/peer/client.h"
#include "currantgauge/peer/loopback_test.h"
#include "currantgauge/peer/server.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace currantgauge::peer {
namespace {

constexpr std::size_t LargeBytes = 3UL * 1024 * 1024 + 7;

// OwnerFixture runs an owner that answers each attempt and keeps its body.
struct OwnerFixture {
  runtime::MemoryBudget Memory;
  std::promise<std::string> Body;
  base::NetAddress Address;
  std::unique_ptr<PeerServer> Server;
  PeerClient Client;

  explicit OwnerFixture(base::ByteCount Limit) {
    this->Memory.Limit = Limit;
    PeerHandlers Handlers;
    Handlers.BodyMemory = &this->Memory;
    Handlers.Forward = [this](core::AttemptFacts,
                              runtime::RequestMessagePtr Message,
                              runtime::AnswerPipePtr Pipe) {
      this->Body.set_value(Message->Body);
      runtime::AnswerEnd End;
      End.Outcome.Verdict = base::Verdict::Ran;
      runtime::pushPart(*Pipe, End);
    };
    this->Address = toAddress(freeEndpoint());
    std::error_code Error;
    this->Server = startPeerServer(this->Address, std::move(Handlers), Error);
    REQUIRE(this->Server);
  }
  ~OwnerFixture() { stopPeerServer(*this->Server, base::milliseconds(100)); }
};

core::AttemptOutcome forwardBody(OwnerFixture &Owner, std::string Body) {
  core::AttemptFacts Facts;
  Facts.Attempt = base::AttemptId{1, 1};
  Facts.TimeLeft = base::seconds(5);
  Facts.BodyBytes = base::ByteCount{Body.size()};
  runtime::RequestMessagePtr Message(new runtime::RequestMessage);
  Message->Method = "POST";
  Message->Target = "/";
  Message->Body = std::move(Body);
  runtime::AnswerPipePtr Pipe(new runtime::AnswerPipe);
  std::promise<void> Ended;
  forward(Owner.Client, Owner.Address, Facts, Message, Pipe);
  runtime::setWakeReader(*Pipe, [&] { Ended.set_value(); });
  REQUIRE(Ended.get_future().wait_for(std::chrono::seconds(5)) ==
          std::future_status::ready);
  auto Part = runtime::popPart(*Pipe);
  REQUIRE(Part);
  REQUIRE(std::holds_alternative<runtime::AnswerEnd>(*Part));
  return std::get<runtime::AnswerEnd>(*Part).Outcome;
}

// The owner's handler ends after the answer that it has sent.
bool releasesMemory(const OwnerFixture &Owner) {
  constexpr int MaxChecks = 500;
  for (int I = 0; I < MaxChecks && Owner.Memory.Used != 0; ++I)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  return Owner.Memory.Used == 0;
}

} // namespace

TEST_CASE("a large body arrives whole") {
  for (std::size_t Size : {std::size_t{0}, std::size_t{1}, LargeBytes}) {
    CAPTURE(Size);
    OwnerFixture Owner(base::ByteCount{2 * LargeBytes});
    std::string Body;
    for (std::size_t I = 0; I < Size; ++I)
      Body += static_cast<char>('a' + I * I % 23);
    CHECK(forwardBody(Owner, Body).Verdict == base::Verdict::Ran);
    bool IsSame = Owner.Body.get_future().get() == Body;
    CHECK(IsSame);
    CHECK(releasesMemory(Owner));
  }
}

TEST_CASE("an owner without memory for a body refuses it before it arrives") {
  OwnerFixture Owner(base::ByteCount{LargeBytes});
  core::AttemptOutcome Refused =
      forwardBody(Owner, std::string(2 * LargeBytes, 'x'));
  CHECK(Refused.Verdict == base::Verdict::NotRun);
  CHECK(Refused.Reason == base::Reason::MemoryLimit);
  CHECK(Refused.RetryAfter > base::Duration{});
  CHECK(Owner.Memory.Used == 0);
}

} // namespace currantgauge::peer
