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

namespace currantgauge::membership {

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

// dropRecord() takes a record out of the digest.
void dropRecord(MembershipState &State, const RecordKey &Key);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_DIGEST_H
