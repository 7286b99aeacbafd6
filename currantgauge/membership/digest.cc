#include "currantgauge/membership/digest.h"

#include "currantgauge/membership/member.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace currantgauge::membership {
namespace {

std::uint64_t hashText(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

std::uint64_t hashNumber(std::uint64_t Number, std::uint64_t Seed) {
  return XXH64(&Number, sizeof(Number), Seed);
}

std::uint64_t hashKey(const RecordKey &Key) {
  return hashNumber(
      Key.Number, hashText(Key.Name, static_cast<std::uint64_t>(Key.Kind) + 1));
}

// Zero stands for a record that the digest leaves out.
void setHash(Digest &Records, const RecordKey &Key, std::uint64_t Hash) {
  Bucket &Where = Records.Buckets[bucketOf(Key)];
  auto Found = Where.Records.find(Key);
  std::uint64_t Before = Found == Where.Records.end() ? 0 : Found->second;
  if (Hash == 0 && Before != 0)
    Where.Records.erase(Found);
  else if (Hash != 0 && Before != 0)
    Found->second = Hash;
  else if (Hash != 0)
    Where.Records.emplace(Key, Hash);
  Records.Count -= Before != 0;
  Records.Count += Hash != 0;
  Where.Hash ^= Before ^ Hash;
  Records.Root ^= Before ^ Hash;
}

} // namespace

RecordKey keyOf(const MemberRecord &Record) {
  return RecordKey{RecordKind::Member, Record.Name.Value, 0};
}

RecordKey keyOf(const routing::BackendRecord &Record) {
  return RecordKey{RecordKind::Backend, Record.Name.Value, 0};
}

RecordKey keyOf(const QuarantineRecord &Record) {
  return RecordKey{RecordKind::Quarantine, "", Record.Fingerprint.Value};
}

std::size_t bucketOf(const RecordKey &Key) {
  return hashKey(Key) % BucketCount;
}

// The version in force changes at every node at about the same time, so that
// it would make all buckets differ; suspicion passes by itself.
void updateDigest(MembershipState &State, const MemberRecord &Record) {
  RecordKey Key = keyOf(Record);
  std::uint64_t Hash = 0;
  if (isLive(Record.Phase))
    Hash = hashText(Record.PeerAddress.Value,
                    hashNumber(Record.Incarnation.Value, hashKey(Key)));
  setHash(State.RecordDigest, Key, Hash);
}

void updateDigest(MembershipState &State,
                  const routing::BackendRecord &Record) {
  RecordKey Key = keyOf(Record);
  std::uint64_t Hash = 0;
  if (Record.Phase != routing::BackendPhase::Gone &&
      isLiveNode(State, Record.Owner))
    Hash = hashNumber(Record.Revision,
                      hashNumber(Record.Life.Value,
                                 hashText(Record.Owner.Value, hashKey(Key))));
  setHash(State.RecordDigest, Key, Hash);
}

void updateDigest(MembershipState &State, const QuarantineRecord &Record) {
  RecordKey Key = keyOf(Record);
  std::uint64_t Hash =
      hashNumber(static_cast<std::uint64_t>(Record.Since.Millis),
                 hashNumber(Record.Cleared, hashKey(Key)));
  for (const base::BackendName &Name : Record.Crashed)
    Hash = hashText(Name.Value, Hash);
  setHash(State.RecordDigest, Key, Hash);
}

DigestLevel chooseLevel(const MembershipState &State) {
  DigestLevel Which{MinLevelSize};
  while (Which.Size < BucketCount && Which.Size < State.RecordDigest.Count)
    Which.Size *= 2;
  return Which;
}

std::vector<std::uint64_t> bucketHashes(const MembershipState &State,
                                        DigestLevel Which) {
  std::vector<std::uint64_t> Hashes(Which.Size);
  for (std::size_t Index = 0; Index < BucketCount; ++Index)
    Hashes[Index % Which.Size] ^= State.RecordDigest.Buckets[Index].Hash;
  return Hashes;
}

void removeFromDigest(MembershipState &State, const RecordKey &Key) {
  setHash(State.RecordDigest, Key, 0);
}

} // namespace currantgauge::membership
