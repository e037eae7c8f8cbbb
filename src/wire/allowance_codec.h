/// Conversion of the messages about shared limits and credit. Internal to wire/.
#pragma once

#include "base/result.h"
#include "inner.pb.h"
#include "wire/message.h"

#include <algorithm>
#include <cstdint>

namespace damask {

constexpr uint64_t MaxAgeMicroseconds = 24ULL * 3600 * 1000 * 1000;

inline uint64_t microseconds(Duration duration)
{
    return static_cast<uint64_t>(std::max<int64_t>(duration.count() / 1000, 0));
}

void                write(const AllowanceRequest &from, pb::Envelope &to);
void                write(const AllowanceGrant &from, pb::Envelope &to);
void                write(const CreditRequest &from, pb::Envelope &to);
void                write(const CreditGrant &from, pb::Envelope &to);
Result<MessageBody> readAllowanceRequest(const pb::AllowanceRequest &from);
Result<MessageBody> readAllowanceGrant(const pb::AllowanceGrant &from);
Result<MessageBody> readCreditRequest(const pb::CreditRequest &from);
Result<MessageBody> readCreditGrant(const pb::CreditGrant &from);

} // namespace damask
