// Hashes over everything that nodes must agree on. Two nodes with equal bucket
// hashes know the same records.
//
//   updateDigest(State, State.Self);
//   if (Peer.Root != State.Records.Root) compareBuckets();
#ifndef CURRANTGAUGE_MEMBERSHIP_DIGEST_H
#define CURRANTGAUGE_MEMBERSHIP_DIGEST_H

#include "currantgauge/membership/message.h"
#include "currantgauge/membership/state.h"
#include "currantgauge/routing/backend_server.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace currantgauge::membership {

// MinLevelSize is the smallest number of hashes of a comparison but for the one
// over everything.
constexpr std::size_t MinLevelSize = 16;

RecordKey keyOf(const MemberRecord &Record);
RecordKey keyOf(const routing::BackendRecord &Record);
RecordKey keyOf(const QuarantineRecord &Record);

// bucketOf() returns the bucket of a record, below BucketCount.
std::size_t bucketOf(const RecordKey &Key);

// updateDigest() takes a record's present content into the digest. Records of
// nodes and servers that are gone are left out.
void updateDigest(MembershipState &State, const MemberRecord &Record);
void updateDigest(MembershipState &State, const routing::BackendRecord &Record);
void updateDigest(MembershipState &State, const QuarantineRecord &Record);

// Level is a coarser digest: Size folded buckets, a power of two. Bucket Index
// of it stands for every bucket whose number is Index modulo Size.
struct DigestLevel {
  std::size_t Size = BucketCount;
};

// chooseLevel() returns the level that suits the number of records known here,
// so that a small fleet sends few hashes.
DigestLevel chooseLevel(const MembershipState &State);

// isValidLevelSize() says whether a number of hashes is one that chooseLevel()
// returns.
constexpr bool isValidLevelSize(std::size_t Size) {
  return Size >= MinLevelSize && Size <= BucketCount &&
         (Size & (Size - 1)) == 0;
}

// bucketHashes() returns the hashes of a level.
std::vector<std::uint64_t> bucketHashes(const MembershipState &State,
                                        DigestLevel Level);

// removeFromDigest() takes a record out of the digest.
void removeFromDigest(MembershipState &State, const RecordKey &Key);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_DIGEST_H
