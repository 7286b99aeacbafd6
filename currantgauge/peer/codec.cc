#include "currantgauge/peer/codec.h"

#include "currantgauge/peer/generated/peer.pb.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::peer {
namespace {

using membership::MemberPhase;
using membership::MessageKind;
using routing::BackendPhase;

// Enumerations are encoded as their position plus one, so that an absent field
// differs from the first value.
template <typename Enum> std::uint32_t enumToWire(Enum Value) {
  return static_cast<std::uint32_t>(Value) + 1;
}

template <typename Enum>
bool enumFromWire(std::uint32_t Wire, Enum Last, Enum &Value) {
  if (Wire == 0 || Wire > enumToWire(Last))
    return false;
  Value = static_cast<Enum>(Wire - 1);
  return true;
}

template <typename Tag>
void idToWire(const base::UniqueId<Tag> &From, v1::Id &To) {
  To.set_origin(From.Origin);
  To.set_sequence(From.Sequence);
}

template <typename Tag>
void idFromWire(const v1::Id &From, base::UniqueId<Tag> &To) {
  To.Origin = From.origin();
  To.Sequence = From.sequence();
}

void toWire(const membership::MemberRecord &From, v1::MemberRecord &To) {
  To.set_name(From.Name.Value);
  To.set_peer_address(From.PeerAddress.Value);
  To.set_region(From.Region.Value);
  To.set_domain(From.Domain.Value);
  To.set_life(From.Incarnation.Value);
  To.set_phase(enumToWire(From.Phase));
  To.set_version(From.Version.Value);
}

bool fromWire(const v1::MemberRecord &From, membership::MemberRecord &To) {
  To.Name.Value = From.name();
  To.PeerAddress.Value = From.peer_address();
  To.Region.Value = From.region();
  To.Domain.Value = From.domain();
  To.Incarnation.Value = From.life();
  To.Version.Value = From.version();
  return enumFromWire(From.phase(), MemberPhase::Left, To.Phase);
}

std::uint64_t microsToWire(base::Duration Duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(Duration.Micros, 0));
}

base::Duration microsFromWire(std::uint64_t Wire) {
  return base::Duration{static_cast<std::int64_t>(Wire)};
}

void toWire(const routing::KindTime &From, v1::KindTime &To) {
  To.set_kind(From.Kind.Value);
  To.set_median_micros(microsToWire(From.Times.Median));
  To.set_q90_micros(microsToWire(From.Times.Q90));
  To.set_q99_micros(microsToWire(From.Times.Q99));
}

void fromWire(const v1::KindTime &From, routing::KindTime &To) {
  To.Kind.Value = From.kind();
  To.Times.Median = microsFromWire(From.median_micros());
  To.Times.Q90 = microsFromWire(From.q90_micros());
  To.Times.Q99 = microsFromWire(From.q99_micros());
}

void toWire(const routing::BackendRecord &From, v1::BackendRecord &To) {
  To.set_name(From.Name.Value);
  To.set_service(From.Service.Value);
  To.set_owner(From.Owner.Value);
  To.set_region(From.Region.Value);
  To.set_domain(From.Domain.Value);
  To.set_address(From.Address.Value);
  To.set_life(From.Incarnation.Value);
  To.set_revision(From.Revision);
  To.set_slots(From.Slots);
  To.set_phase(enumToWire(From.Phase));
  To.set_cold_start_micros(From.ColdStart.Micros);
  To.set_suspicion(From.Suspicion);
  To.set_fail_share(From.FailShare);
  To.set_late_share(From.LateShare);
  To.set_departed(From.Departed);
  for (const routing::KindTime &Time : From.Times)
    toWire(Time, *To.add_times());
}

bool fromWire(const v1::BackendRecord &From, routing::BackendRecord &To) {
  To.Name.Value = From.name();
  To.Service.Value = From.service();
  To.Owner.Value = From.owner();
  To.Region.Value = From.region();
  To.Domain.Value = From.domain();
  To.Address.Value = From.address();
  To.Incarnation.Value = From.life();
  To.Revision = From.revision();
  To.Slots = From.slots();
  To.ColdStart.Micros = From.cold_start_micros();
  To.Suspicion = From.suspicion();
  To.FailShare = From.fail_share();
  To.LateShare = From.late_share();
  To.Departed = From.departed();
  for (const v1::KindTime &Time : From.times())
    fromWire(Time, To.Times.emplace_back());
  return enumFromWire(From.phase(), BackendPhase::Gone, To.Phase);
}

void toWire(const membership::QuarantineRecord &From,
            v1::QuarantineRecord &To) {
  To.set_fingerprint(From.Fingerprint.Value);
  To.set_service(From.Service.Value);
  To.set_kind(From.Kind.Value);
  for (const membership::ServerCrash &Crash : From.Crashes) {
    To.add_crashed(Crash.Server.Value);
    To.add_crashed_lives(Crash.Incarnation.Value);
  }
  To.set_since_millis(From.Since.Millis);
  To.set_cleared(From.Cleared);
}

bool fromWire(const v1::QuarantineRecord &From,
              membership::QuarantineRecord &To) {
  To.Fingerprint.Value = From.fingerprint();
  To.Service.Value = From.service();
  To.Kind.Value = From.kind();
  // A node of an earlier version sends no incarnations.
  for (int I = 0; I < From.crashed_size(); ++I)
    To.Crashes.push_back(
        {base::BackendName(From.crashed(I)),
         base::Incarnation(I < From.crashed_lives_size() ? From.crashed_lives(I)
                                                         : 0)});
  To.Since.Millis = From.since_millis();
  To.Cleared = From.cleared();
  return true;
}

void toWire(const core::Pressure &From, v1::Pressure &To) {
  To.set_owner(From.Owner.Value);
  To.set_service(From.Service.Value);
  To.set_refused_order(From.RankOrder);
  To.set_refused_share(From.RefusedShare);
  To.set_queue_delay_micros(From.QueueDelay.Micros);
  To.set_busy(static_cast<float>(From.Busy));
}

void fromWire(const v1::Pressure &From, core::Pressure &To) {
  To.Owner.Value = From.owner();
  To.Service.Value = From.service();
  To.RankOrder = From.refused_order();
  To.RefusedShare = From.refused_share();
  To.QueueDelay.Micros = From.queue_delay_micros();
  To.Busy = From.busy();
}

void toWire(const admission::PermitAsk &From, v1::PermitAsk &To) {
  idToWire(From.Id, *To.mutable_id());
  To.set_workspace(From.Workspace.Value);
  To.set_count(From.Count);
  To.set_asker(From.Asker.Value);
  To.set_asker_address(From.AskerAddress.Value);
  To.set_forward_count(From.ForwardCount);
}

bool fromWire(const v1::PermitAsk &From, admission::PermitAsk &To) {
  idFromWire(From.id(), To.Id);
  To.Workspace.Value = From.workspace();
  To.Count = From.count();
  To.Asker.Value = From.asker();
  To.AskerAddress.Value = From.asker_address();
  To.ForwardCount = From.forward_count();
  return true;
}

void toWire(const admission::PermitAnswer &From, v1::PermitAnswer &To) {
  idToWire(From.Id, *To.mutable_id());
  To.set_granted(From.Granted);
  To.set_retry_after_micros(From.RetryAfter.Micros);
  To.set_retry_step_micros(From.RetryStep.Micros);
}

bool fromWire(const v1::PermitAnswer &From, admission::PermitAnswer &To) {
  idFromWire(From.id(), To.Id);
  To.Granted = From.granted();
  To.RetryAfter.Micros = From.retry_after_micros();
  To.RetryStep.Micros = From.retry_step_micros();
  return true;
}

template <typename Wire, typename Record>
bool listFromWire(const Wire &From, std::vector<Record> &To) {
  for (const auto &Item : From)
    if (!fromWire(Item, To.emplace_back()))
      return false;
  return true;
}

} // namespace

void toWire(const membership::PeerMessage &From, v1::PeerMessage &To) {
  To.set_from(From.From.Value);
  To.set_from_address(From.FromAddress.Value);
  To.set_kind(enumToWire(From.Kind));
  To.set_sequence(From.Sequence);
  To.set_target(From.Target.Value);
  To.set_target_address(From.TargetAddress.Value);
  for (const membership::MemberRecord &Record : From.Members)
    toWire(Record, *To.add_members());
  for (const routing::BackendRecord &Record : From.Backends)
    toWire(Record, *To.add_backends());
  for (const membership::QuarantineRecord &Record : From.Quarantine)
    toWire(Record, *To.add_quarantine());
  To.set_version(From.Version.Value);
  To.mutable_bucket_hashes()->Add(From.BucketHashes.begin(),
                                  From.BucketHashes.end());
  To.mutable_buckets()->Add(From.Buckets.begin(), From.Buckets.end());
  To.mutable_record_hashes()->Add(From.RecordHashes.begin(),
                                  From.RecordHashes.end());
  To.mutable_wanted()->Add(From.Wanted.begin(), From.Wanted.end());
  for (const admission::PermitAsk &Ask : From.PermitAsks)
    toWire(Ask, *To.add_permit_asks());
  for (const admission::PermitAnswer &Answer : From.PermitAnswers)
    toWire(Answer, *To.add_permit_answers());
}

bool fromWire(const v1::PeerMessage &From, membership::PeerMessage &To) {
  To = membership::PeerMessage();
  To.From.Value = From.from();
  To.FromAddress.Value = From.from_address();
  To.Sequence = From.sequence();
  To.Target.Value = From.target();
  To.TargetAddress.Value = From.target_address();
  To.Version.Value = From.version();
  To.BucketHashes.assign(From.bucket_hashes().begin(),
                         From.bucket_hashes().end());
  To.Buckets.assign(From.buckets().begin(), From.buckets().end());
  To.RecordHashes.assign(From.record_hashes().begin(),
                         From.record_hashes().end());
  To.Wanted.assign(From.wanted().begin(), From.wanted().end());
  return enumFromWire(From.kind(), MessageKind::Permits, To.Kind) &&
         listFromWire(From.permit_asks(), To.PermitAsks) &&
         listFromWire(From.permit_answers(), To.PermitAnswers) &&
         listFromWire(From.members(), To.Members) &&
         listFromWire(From.backends(), To.Backends) &&
         listFromWire(From.quarantine(), To.Quarantine);
}

void toWire(const core::AttemptFacts &From, v1::AttemptFacts &To) {
  idToWire(From.Attempt, *To.mutable_attempt());
  idToWire(From.Request, *To.mutable_request());
  To.set_entry(From.Entry.Value);
  To.set_service(From.Service.Value);
  To.set_kind(From.Kind.Value);
  To.set_rank(From.Rank.Value);
  To.set_workspace(From.Workspace.Value);
  To.set_preferred(From.PreferredServer.Value);
  To.set_key(From.IdempotencyKey.Value);
  To.set_action(From.Action.Value);
  To.set_fingerprint(From.Fingerprint.Value);
  To.set_body_hash(From.BodyHash.Value);
  To.set_body_bytes(From.BodyBytes.Bytes);
  To.set_time_left_micros(From.TimeLeft.Micros);
  To.set_worth(From.Worth);
  To.set_idempotent(From.Idempotent);
  To.set_number(From.Number);
  To.set_permitted(From.Permitted);
  To.set_waited_micros(From.Waited.Micros);
  To.set_hands_back(From.ReturnOnLongWait);
}

bool fromWire(const v1::AttemptFacts &From, core::AttemptFacts &To) {
  To = core::AttemptFacts();
  idFromWire(From.attempt(), To.Attempt);
  idFromWire(From.request(), To.Request);
  To.Entry.Value = From.entry();
  To.Service.Value = From.service();
  To.Kind.Value = From.kind();
  To.Rank.Value = From.rank();
  To.Workspace.Value = From.workspace();
  To.PreferredServer.Value = From.preferred();
  To.IdempotencyKey.Value = From.key();
  To.Action.Value = From.action();
  To.Fingerprint.Value = From.fingerprint();
  To.BodyHash.Value = From.body_hash();
  To.BodyBytes.Bytes = From.body_bytes();
  To.TimeLeft.Micros = From.time_left_micros();
  To.Worth = From.worth();
  To.Idempotent = From.idempotent();
  To.Number = From.number();
  To.Permitted = From.permitted();
  To.Waited.Micros = From.waited_micros();
  To.ReturnOnLongWait = From.hands_back();
  return true;
}

void toWire(const core::AttemptOutcome &From, v1::AttemptOutcome &To) {
  To.set_verdict(enumToWire(From.Verdict));
  To.set_reason(enumToWire(From.Reason));
  To.set_status(From.Status);
  To.set_retry_after_micros(From.RetryAfter.Micros);
  To.set_server(From.Server.Value);
  toWire(From.Load, *To.mutable_load());
  To.set_elsewhere(From.ReferredNode.Value);
  To.set_permitted(From.Permitted);
  To.set_server_died(From.ServerCrashed);
  To.set_request_at_fault(From.RequestAtFault);
  To.set_answer_bytes(From.AnswerBytes.Bytes);
  To.set_suspicion(From.Suspicion);
  To.set_held_micros(From.Held.Micros);
}

bool fromWire(const v1::AttemptOutcome &From, core::AttemptOutcome &To) {
  To = core::AttemptOutcome();
  To.Status = From.status();
  To.RetryAfter.Micros = From.retry_after_micros();
  To.Server.Value = From.server();
  To.Suspicion = From.suspicion();
  To.Held = base::Duration{From.held_micros()};
  if (From.has_load())
    fromWire(From.load(), To.Load);
  To.ReferredNode.Value = From.elsewhere();
  To.Permitted = From.permitted();
  To.ServerCrashed = From.server_died();
  To.RequestAtFault = From.request_at_fault();
  To.AnswerBytes = base::ByteCount{From.answer_bytes()};
  return enumFromWire(From.verdict(), base::Verdict::Ran, To.Verdict) &&
         enumFromWire(From.reason(), base::LastReason, To.Reason);
}

void toWire(const config::ConfigDelta &From, v1::ConfigDelta &To) {
  To.set_version(From.Version.Value);
  To.set_since(From.Since.Value);
  To.set_push(From.Push.Value);
  To.set_author(From.Author);
  To.set_when_millis(From.AcceptedAt.Millis);
  To.set_whole(From.ManifestHash.Value);
  for (const config::ConfigPartPtr &Part : From.Changed) {
    v1::ConfigPart &WirePart = *To.add_changed();
    WirePart.set_name(Part->Name);
    WirePart.set_text(Part->Text);
  }
  for (const std::string &Name : From.Removed)
    To.add_removed(Name);
}

// Hashes of parts are computed from the received text rather than transmitted.
bool fromWire(const v1::ConfigDelta &From, config::ConfigDelta &To) {
  To = config::ConfigDelta();
  To.Version.Value = From.version();
  To.Since.Value = From.since();
  To.Push.Value = From.push();
  To.Author = From.author();
  To.AcceptedAt.Millis = From.when_millis();
  To.ManifestHash.Value = From.whole();
  for (const v1::ConfigPart &Part : From.changed())
    To.Changed.push_back(config::makePart(Part.name(), Part.text()));
  To.Removed.assign(From.removed().begin(), From.removed().end());
  return true;
}

} // namespace currantgauge::peer
