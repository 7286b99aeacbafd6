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

// Sets a record's hash; zero removes the record from the digest.
void setHash(Digest &RecordDigest, const RecordKey &Key, std::uint64_t Hash) {
  Bucket &HashBucket = RecordDigest.Buckets[bucketOf(Key)];
  auto It = HashBucket.Records.find(Key);
  std::uint64_t Before = It == HashBucket.Records.end() ? 0 : It->second;
  if (Hash == 0 && Before != 0)
    HashBucket.Records.erase(It);
  else if (Hash != 0 && Before != 0)
    It->second = Hash;
  else if (Hash != 0)
    HashBucket.Records.emplace(Key, Hash);
  RecordDigest.Count -= Before != 0;
  RecordDigest.Count += Hash != 0;
  HashBucket.Hash ^= Before ^ Hash;
  RecordDigest.Root ^= Before ^ Hash;
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

// The hash excludes the configuration version and whether the member is
// suspected. The version changes at all nodes at about the same time, so that
// all buckets would differ; a suspicion ends by itself.
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
                      hashNumber(Record.Incarnation.Value,
                                 hashText(Record.Owner.Value, hashKey(Key))));
  setHash(State.RecordDigest, Key, Hash);
}

void updateDigest(MembershipState &State, const QuarantineRecord &Record) {
  RecordKey Key = keyOf(Record);
  std::uint64_t Hash =
      hashNumber(static_cast<std::uint64_t>(Record.Since.Millis),
                 hashNumber(Record.Cleared, hashKey(Key)));
  for (const ServerCrash &Crash : Record.Crashes)
    Hash =
        hashText(Crash.Server.Value, hashNumber(Crash.Incarnation.Value, Hash));
  setHash(State.RecordDigest, Key, Hash);
}

DigestLevel chooseLevel(const MembershipState &State) {
  DigestLevel Level{MinLevelSize};
  while (Level.Size < BucketCount && Level.Size < State.RecordDigest.Count)
    Level.Size *= 2;
  return Level;
}

std::vector<std::uint64_t> bucketHashes(const MembershipState &State,
                                        DigestLevel Level) {
  std::vector<std::uint64_t> Hashes(Level.Size);
  for (std::size_t Index = 0; Index < BucketCount; ++Index)
    Hashes[Index % Level.Size] ^= State.RecordDigest.Buckets[Index].Hash;
  return Hashes;
}

void removeFromDigest(MembershipState &State, const RecordKey &Key) {
  setHash(State.RecordDigest, Key, 0);
}

} // namespace currantgauge::membership
