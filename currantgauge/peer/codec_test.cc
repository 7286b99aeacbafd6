#include "currantgauge/peer/codec.h"

#include "currantgauge/membership/size.h"
#include "currantgauge/peer/generated/peer.pb.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace currantgauge::peer {
namespace {

membership::PeerMessage sampleMessage() {
  membership::PeerMessage Message;
  Message.From = base::NodeName("a");
  Message.FromAddress = base::NetAddress("127.0.0.1:1");
  Message.Kind = membership::MessageKind::PingRequest;
  Message.Sequence = 9;
  Message.Target = base::NodeName("b");
  Message.TargetAddress = base::NetAddress("127.0.0.1:2");
  Message.Version = base::ConfigVersion(4);
  Message.BucketHashes = {1, ~0ULL};
  Message.Buckets = {3};
  Message.RecordHashes = {5, 6};
  Message.Wanted = {7};
  membership::MemberRecord &Member = Message.Members.emplace_back();
  Member.Name = base::NodeName("\xff not UTF-8");
  Member.Incarnation = base::Incarnation(8);
  Member.Phase = membership::MemberPhase::Left;
  Member.Version = base::ConfigVersion(3);
  routing::BackendRecord &Backend = Message.Backends.emplace_back();
  Backend.Name = base::BackendName("cutlist-1");
  Backend.Owner = base::NodeName("a");
  Backend.Revision = 12;
  Backend.Phase = routing::BackendPhase::Leaving;
  Backend.ColdStart = base::milliseconds(1500);
  Backend.Suspicion = 0.25;
  Backend.FailShare = 0.05;
  Backend.LateShare = 0.15;
  Backend.Departed = true;
  routing::KindTime &Time = Backend.Times.emplace_back();
  Time.Kind = base::KindName("read");
  Time.Times = {base::milliseconds(3), base::milliseconds(9),
                base::milliseconds(400)};
  membership::QuarantineRecord &Quarantine = Message.Quarantine.emplace_back();
  Quarantine.Fingerprint = base::Fingerprint(77);
  Quarantine.Crashes = {
      {base::BackendName("cutlist-1"), base::Incarnation(300)}};
  Quarantine.Since = base::UnixTime{1234};
  Quarantine.Cleared = true;
  Message.PermitAsks.push_back({.Id = {12, 300},
                                .Workspace = base::WorkspaceName("orchard"),
                                .Count = 3,
                                .Asker = base::NodeName("c"),
                                .AskerAddress = base::NetAddress("127.0.0.1:3"),
                                .ForwardCount = 1});
  Message.PermitAnswers.push_back({.Id = {~0ULL, 5},
                                   .Granted = 2,
                                   .RetryAfter = base::milliseconds(1200),
                                   .RetryStep = base::milliseconds(40)});
  return Message;
}

template <typename Wire, typename Core>
std::string serialize(const Core &From) {
  Wire Message;
  toWire(From, Message);
  return Message.SerializeAsString();
}

// Checks that encoding, decoding and encoding again yields the same bytes.
template <typename Wire, typename Core> void checkRoundTrip(const Core &From) {
  Wire Message;
  REQUIRE(Message.ParseFromString(serialize<Wire>(From)));
  Core Decoded;
  REQUIRE(fromWire(Message, Decoded));
  CHECK(serialize<Wire>(Decoded) == serialize<Wire>(From));
}

// roundTrip() returns what the receiver decodes.
template <typename Wire, typename Core> Core roundTrip(const Core &From) {
  Wire Message;
  toWire(From, Message);
  Core Decoded;
  CHECK(fromWire(Message, Decoded));
  return Decoded;
}

} // namespace

TEST_CASE("a peer message survives a round trip") {
  checkRoundTrip<v1::PeerMessage>(sampleMessage());
  v1::PeerMessage Wire;
  toWire(sampleMessage(), Wire);
  membership::PeerMessage Decoded;
  REQUIRE(fromWire(Wire, Decoded));
  CHECK(Decoded.Kind == membership::MessageKind::PingRequest);
  CHECK(Decoded.Members.at(0).Name.Value == "\xff not UTF-8");
  CHECK(Decoded.Backends.at(0).Suspicion == 0.25);
  CHECK(Decoded.Backends.at(0).FailShare == 0.05);
  CHECK(Decoded.Backends.at(0).LateShare == 0.15);
  CHECK(Decoded.Backends.at(0).Departed);
  CHECK(Decoded.Backends.at(0).Times == sampleMessage().Backends[0].Times);
  REQUIRE(Decoded.Quarantine.at(0).Crashes.size() == 1);
  CHECK(Decoded.Quarantine.at(0).Crashes.front().Server ==
        base::BackendName("cutlist-1"));
  CHECK(Decoded.Quarantine.at(0).Crashes.front().Incarnation ==
        base::Incarnation(300));
  CHECK(Decoded.BucketHashes.at(1) == ~0ULL);
  CHECK(Decoded.PermitAsks.at(0).Workspace == base::WorkspaceName("orchard"));
  CHECK(Decoded.PermitAsks.at(0).AskerAddress ==
        base::NetAddress("127.0.0.1:3"));
  CHECK(Decoded.PermitAnswers.at(0).Granted == 2);
  CHECK(Decoded.PermitAnswers.at(0).RetryAfter == base::milliseconds(1200));
}

TEST_CASE("the computed size of a message equals its encoded size") {
  membership::PeerMessage Message;
  for (int Round = 0; Round < 3; ++Round) {
    CHECK(membership::encodedSize(Message) ==
          serialize<v1::PeerMessage>(Message).size());
    Message = sampleMessage();
    Message.Backends[0].ColdStart = base::milliseconds(-70000 * Round);
    Message.Backends[0].Incarnation = base::Incarnation(1733310000000000ULL);
    Message.Members[0].Name.Value.append(200, 'x');
    Message.Buckets.assign(300, 1000);
    Message.Wanted.assign(static_cast<std::size_t>(200) * Round, 1);
  }
}

TEST_CASE("facts and outcome and configuration survive a round trip") {
  core::AttemptFacts Facts;
  Facts.Attempt = base::AttemptId{1, 2};
  Facts.Request = base::RequestId{3, 4};
  Facts.IdempotencyKey = base::IdempotencyKey("key");
  Facts.TimeLeft = base::milliseconds(-3);
  Facts.Fingerprint = base::Fingerprint(5);
  Facts.Idempotent = false;
  Facts.Waited = base::milliseconds(12);
  checkRoundTrip<v1::AttemptFacts>(Facts);
  CHECK(roundTrip<v1::AttemptFacts>(Facts).Waited == base::milliseconds(12));
  core::AttemptOutcome Outcome;
  Outcome.Verdict = base::Verdict::NotRun;
  Outcome.Reason = base::LastReason;
  Outcome.Load.RefusedShare = 0.5;
  Outcome.Suspicion = 0.75;
  Outcome.Held = base::milliseconds(12);
  Outcome.ReferredNode = base::NodeName("c");
  Outcome.AnswerBytes = base::ByteCount{70000};
  checkRoundTrip<v1::AttemptOutcome>(Outcome);
  CHECK(roundTrip<v1::AttemptOutcome>(Outcome).AnswerBytes ==
        base::ByteCount{70000});
  config::ConfigDelta Delta;
  Delta.Version = base::ConfigVersion(6);
  Delta.Since = base::ConfigVersion(4);
  Delta.AcceptedAt = base::UnixTime{7};
  Delta.Changed = {config::makePart("base", std::string("kinds:\n\0", 8))};
  Delta.Removed = {"routes/1f"};
  checkRoundTrip<v1::ConfigDelta>(Delta);
}

TEST_CASE("an unknown enumeration value is rejected") {
  v1::AttemptOutcome Outcome;
  core::AttemptOutcome ToOutcome;
  CHECK_FALSE(fromWire(Outcome, ToOutcome));
  toWire(ToOutcome, Outcome);
  Outcome.set_verdict(4);
  CHECK_FALSE(fromWire(Outcome, ToOutcome));
  Outcome.set_verdict(3);
  Outcome.set_reason(static_cast<std::uint32_t>(base::LastReason) + 2);
  CHECK_FALSE(fromWire(Outcome, ToOutcome));

  membership::PeerMessage ToMessage;
  v1::PeerMessage Message;
  toWire(sampleMessage(), Message);
  Message.set_kind(
      static_cast<std::uint32_t>(membership::MessageKind::Permits) + 2);
  CHECK_FALSE(fromWire(Message, ToMessage));
  toWire(sampleMessage(), Message);
  Message.mutable_members(0)->set_phase(0);
  CHECK_FALSE(fromWire(Message, ToMessage));
  Message.mutable_members(0)->set_phase(1);
  Message.mutable_backends(0)->set_phase(99);
  CHECK_FALSE(fromWire(Message, ToMessage));
}

} // namespace currantgauge::peer
