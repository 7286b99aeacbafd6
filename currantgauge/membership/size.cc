#include "currantgauge/membership/size.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

// The encoding is defined by peer/peer.proto; peer/codec_test.cc compares the
// sizes. Field numbers are below 16, so that a tag takes one byte, but where
// noted.
namespace currantgauge::membership {
namespace {

// Of a bool whose field number is 16 or higher, so that its tag takes two
// bytes.
constexpr std::size_t LateBoolSize = 3;
// What such a tag takes more.
constexpr std::size_t LateTagSize = 1;

std::size_t varintSize(std::uint64_t Value) {
  std::size_t Size = 1;
  for (; Value >= 0x80; Value >>= 7)
    ++Size;
  return Size;
}

std::size_t lengthDelimited(std::size_t Size) {
  return 1 + varintSize(Size) + Size;
}

// proto3 omits fields that have their default value.
std::size_t field(std::uint64_t Value) {
  return Value == 0 ? 0 : 1 + varintSize(Value);
}

std::size_t field(const std::string &Text) {
  return Text.empty() ? 0 : lengthDelimited(Text.size());
}

std::size_t zigzagField(std::int64_t Value) {
  return field((static_cast<std::uint64_t>(Value) << 1) ^
               static_cast<std::uint64_t>(Value >> 63));
}

std::size_t microsField(base::Duration Duration) {
  return field(
      static_cast<std::uint64_t>(std::max<std::int64_t>(Duration.Micros, 0)));
}

std::size_t fixedField(std::uint64_t Value) { return Value == 0 ? 0 : 9; }

std::size_t doubleField(double Value) { return Value == 0 ? 0 : 9; }

template <typename Enum> std::size_t enumField(Enum Value) {
  return field(static_cast<std::uint64_t>(Value) + 1);
}

template <typename Tag> std::size_t idField(const base::UniqueId<Tag> &Id) {
  return lengthDelimited(field(Id.Origin) + field(Id.Sequence));
}

template <typename Item>
std::size_t packedFixed(const std::vector<Item> &Items) {
  return Items.empty() ? 0 : lengthDelimited(Items.size() * sizeof(Item));
}

template <typename Item>
std::size_t packedVarints(const std::vector<Item> &Items) {
  std::size_t Size = 0;
  for (Item Value : Items)
    Size += varintSize(Value);
  return Items.empty() ? 0 : lengthDelimited(Size);
}

template <typename Record>
std::size_t listSize(const std::vector<Record> &Records) {
  std::size_t Size = 0;
  for (const Record &Item : Records)
    Size += encodedSize(Item);
  return Size;
}

} // namespace

std::size_t encodedSize(const MemberRecord &Record) {
  return lengthDelimited(
      field(Record.Name.Value) + field(Record.PeerAddress.Value) +
      field(Record.Region.Value) + field(Record.Domain.Value) +
      field(Record.Incarnation.Value) + enumField(Record.Phase) +
      field(Record.Version.Value));
}

std::size_t encodedSize(const routing::KindTime &Time) {
  return lengthDelimited(
      field(Time.Kind.Value) + microsField(Time.Times.Median) +
      microsField(Time.Times.Q90) + microsField(Time.Times.Q99));
}

std::size_t encodedSize(const routing::BackendRecord &Record) {
  return lengthDelimited(
      field(Record.Name.Value) + field(Record.Service.Value) +
      field(Record.Owner.Value) + field(Record.Region.Value) +
      field(Record.Domain.Value) + field(Record.Address.Value) +
      field(Record.Incarnation.Value) + field(Record.Revision) +
      field(Record.Slots) + enumField(Record.Phase) +
      (Record.Departed ? LateBoolSize : 0) +
      zigzagField(Record.ColdStart.Micros) + doubleField(Record.Suspicion) +
      doubleField(Record.FailShare) + doubleField(Record.LateShare) +
      listSize(Record.Times));
}

std::size_t encodedSize(const QuarantineRecord &Record) {
  std::size_t Size = fixedField(Record.Fingerprint.Value) +
                     field(Record.Service.Value) + field(Record.Kind.Value) +
                     zigzagField(Record.Since.Millis) +
                     field(std::uint64_t{Record.Cleared});
  std::vector<std::uint64_t> Incarnations;
  for (const ServerCrash &Crash : Record.Crashes) {
    Size += lengthDelimited(Crash.Server.Value.size());
    Incarnations.push_back(Crash.Incarnation.Value);
  }
  Size += packedVarints(Incarnations);
  return lengthDelimited(Size);
}

std::size_t encodedSize(const admission::PermitAsk &Ask) {
  return lengthDelimited(
      idField(Ask.Id) + field(Ask.Workspace.Value) +
      field(std::uint64_t{Ask.Count}) + field(Ask.Asker.Value) +
      field(Ask.AskerAddress.Value) + field(std::uint64_t{Ask.ForwardCount}));
}

std::size_t encodedSize(const admission::PermitAnswer &Answer) {
  return LateTagSize + lengthDelimited(idField(Answer.Id) +
                                       field(std::uint64_t{Answer.Granted}) +
                                       zigzagField(Answer.RetryAfter.Micros) +
                                       zigzagField(Answer.RetryStep.Micros));
}

std::size_t encodedSize(const PeerMessage &Message) {
  return field(Message.From.Value) + field(Message.FromAddress.Value) +
         enumField(Message.Kind) + field(Message.Sequence) +
         field(Message.Target.Value) + field(Message.TargetAddress.Value) +
         listSize(Message.Members) + listSize(Message.Backends) +
         listSize(Message.Quarantine) + field(Message.Version.Value) +
         packedFixed(Message.BucketHashes) + packedVarints(Message.Buckets) +
         packedFixed(Message.RecordHashes) + packedFixed(Message.Wanted) +
         listSize(Message.PermitAsks) + listSize(Message.PermitAnswers);
}

} // namespace currantgauge::membership
