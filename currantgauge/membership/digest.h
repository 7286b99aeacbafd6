// Hashes over all records that nodes must agree on. Two nodes with equal bucket
// hashes hold the same records, but may differ in what the hashes leave out:
// members and servers that have ended, suspicions and configuration versions.
//
//   updateDigest(State, State.Self);
//   if (Peer.Root != State.RecordDigest.Root) compareBuckets();
#ifndef CURRANTGAUGE_MEMBERSHIP_DIGEST_H
#define CURRANTGAUGE_MEMBERSHIP_DIGEST_H

#include "currantgauge/membership/message.h"
#include "currantgauge/membership/state.h"
#include "currantgauge/routing/backend_server.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace currantgauge::membership {

// MinLevelSize is the smallest size of a DigestLevel, in folded buckets. The
// root hash alone is not a level.
constexpr std::size_t MinLevelSize = 16;

RecordKey keyOf(const MemberRecord &Record);
RecordKey keyOf(const routing::BackendRecord &Record);
RecordKey keyOf(const QuarantineRecord &Record);

// bucketOf() returns the bucket of a record, below BucketCount.
std::size_t bucketOf(const RecordKey &Key);

// updateDigest() updates a record's hash in the digest. Members that are dead
// or have left, their servers and servers that are gone are excluded.
void updateDigest(MembershipState &State, const MemberRecord &Record);
void updateDigest(MembershipState &State, const routing::BackendRecord &Record);
void updateDigest(MembershipState &State, const QuarantineRecord &Record);

// DigestLevel is a coarser view of the digest. Size is the number of folded
// buckets, a power of two; folded bucket Index covers every bucket whose number
// is Index modulo Size.
struct DigestLevel {
  std::size_t Size = BucketCount;
};

// chooseLevel() returns the smallest level with as many folded buckets as the
// digest has records, or the largest one; a small fleet thus sends few hashes.
DigestLevel chooseLevel(const MembershipState &State);

// isValidLevelSize() returns whether chooseLevel() can return a level of that
// size.
constexpr bool isValidLevelSize(std::size_t Size) {
  return Size >= MinLevelSize && Size <= BucketCount &&
         (Size & (Size - 1)) == 0;
}

// bucketHashes() returns the hashes of a level's folded buckets.
std::vector<std::uint64_t> bucketHashes(const MembershipState &State,
                                        DigestLevel Level);

// removeFromDigest() removes a record's hash from the digest.
void removeFromDigest(MembershipState &State, const RecordKey &Key);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_DIGEST_H
