// Computes the encoded size of messages without encoding them.
//
//   if (Size + encodedSize(Record) > MessageBudgetBytes) break;
#ifndef CURRANTGAUGE_MEMBERSHIP_SIZE_H
#define CURRANTGAUGE_MEMBERSHIP_SIZE_H

#include "currantgauge/membership/message.h"
#include "currantgauge/routing/backend_server.h"
#include "currantgauge/routing/time_profile.h"

#include <cstddef>

namespace currantgauge::membership {

// encodedSize() of a record returns the bytes that it adds to a message,
// including its tag and length.
std::size_t encodedSize(const MemberRecord &Record);
std::size_t encodedSize(const routing::BackendRecord &Record);
std::size_t encodedSize(const QuarantineRecord &Record);
std::size_t encodedSize(const routing::KindTime &Time);
std::size_t encodedSize(const admission::PermitAsk &Ask);
std::size_t encodedSize(const admission::PermitAnswer &Answer);

// encodedSize() of a message returns the size of its protobuf encoding.
std::size_t encodedSize(const PeerMessage &Message);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_SIZE_H
