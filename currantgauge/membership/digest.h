// Hashes over everything that nodes must agree on. Two nodes with equal bucket
// hashes know the same records.
//
//   noteRecord(State, State.Self);
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

// LeastLevel is the smallest number of hashes of a comparison but for the one
// over everything.
constexpr std::size_t LeastLevel = 16;

RecordKey keyOf(const MemberRecord &Record);
RecordKey keyOf(const routing::BackendRecord &Record);
RecordKey keyOf(const QuarantineRecord &Record);

// bucketOf() returns the bucket of a record, below BucketCount.
std::size_t bucketOf(const RecordKey &Key);

// noteRecord() takes a record's present content into the digest. Records of
// nodes and servers that are gone are left out.
void noteRecord(MembershipState &State, const MemberRecord &Record);
void noteRecord(MembershipState &State, const routing::BackendRecord &Record);
void noteRecord(MembershipState &State, const QuarantineRecord &Record);

// Level is a coarser digest: Size folded buckets, a power of two. Bucket Index
// of it stands for every bucket whose number is Index modulo Size.
struct Level {
  std::size_t Size = BucketCount;
};

// levelFor() returns the level that suits the number of records known here, so
// that a small fleet sends few hashes.
Level levelFor(const MembershipState &State);

// isLevel() says whether a number of hashes is one that levelFor() returns.
constexpr bool isLevel(std::size_t Size) {
  return Size >= LeastLevel && Size <= BucketCount && (Size & (Size - 1)) == 0;
}

// bucketHashes() returns the hashes of a level.
std::vector<std::uint64_t> bucketHashes(const MembershipState &State,
                                        Level Which);

// dropRecord() takes a record out of the digest.
void dropRecord(MembershipState &State, const RecordKey &Key);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_DIGEST_H
