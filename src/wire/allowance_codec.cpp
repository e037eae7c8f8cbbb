#include "wire/allowance_codec.h"

#include "wire/convert.h"

namespace damask {

namespace {

constexpr double MaxAllowance = 1e12; // of a rate, burst or usage; far above any real one
constexpr uint64_t MaxClockMicroseconds = 1'000'000ULL * 3600 * 24 * 3650; // ten years since the boot of a machine
constexpr int64_t MaxCredit = CreditUnit * 1'000'000;                      // of one lot; far above any real one

Result<void> checkAllowanceKey(std::string_view key, std::string_view field)
{
    return key.empty() ? fail(Code::BadMessage, std::string(field) + ": must not be empty")
                       : checkText(key, MaxNameBytes, field);
}

/// False for infinities, NaN and numbers below zero too.
bool isAmount(double n, double max)
{
    return n >= 0 && n <= max;
}

Result<void> checkCreditService(std::string_view name, std::string_view field)
{
    return name.empty() ? fail(Code::BadMessage, std::string(field) + ": must not be empty")
                        : checkText(name, MaxNameBytes, field);
}

/// Times beyond the range would overflow when they are compared.
Result<CreditEntry> readCreditEntry(const pb::CreditEntry &from)
{
    if (const auto checked = checkCreditService(from.service(), "credit_request.service"); !checked) {
        return tl::make_unexpected(checked.error());
    }
    CreditEntry out{.service = from.service(), .deposits = {}, .wanted = from.wanted()};
    if (from.deposits_size() > MaxItems || from.wanted() > static_cast<uint32_t>(MaxCount)) {
        return fail(Code::BadMessage, "credit_request: a field is out of range");
    }
    for (const pb::CreditLot &it : from.deposits()) {
        if (it.expires_at_us() > MaxClockMicroseconds || it.amount() > static_cast<uint64_t>(MaxCredit)) {
            return fail(Code::BadMessage, "credit_request: a deposit is out of range");
        }
        out.deposits.push_back(
            {TimePoint(std::chrono::microseconds(it.expires_at_us())), static_cast<int64_t>(it.amount())});
    }
    return out;
}

} // namespace

void write(const AllowanceRequest &from, pb::Envelope &to)
{
    pb::AllowanceRequest &request = *to.mutable_allowance_request();
    request.set_number(from.number);
    for (const AllowanceWant &it : from.wants) {
        pb::AllowanceWant &want = *request.add_wants();
        want.set_key(it.key);
        want.set_per_second(it.limit.perSecond);
        want.set_burst(it.limit.burst);
        want.set_version(it.limit.version);
        want.set_tokens(it.tokens);
    }
}

void write(const AllowanceGrant &from, pb::Envelope &to)
{
    pb::AllowanceGrant &grant = *to.mutable_allowance_grant();
    grant.set_number(from.number);
    for (const AllowanceShare &it : from.shares) {
        pb::AllowanceShare &share = *grant.add_shares();
        share.set_key(it.key);
        share.set_tokens(it.tokens);
        share.set_retry_after_us(microseconds(it.retryAfter));
        share.set_usage(it.usage);
    }
}

void write(const CreditRequest &from, pb::Envelope &to)
{
    pb::CreditRequest &request = *to.mutable_credit_request();
    request.set_sender(from.sender);
    request.set_number(from.number);
    request.set_epoch(from.epoch);
    for (const CreditEntry &it : from.entries) {
        pb::CreditEntry &entry = *request.add_entries();
        entry.set_service(it.service);
        entry.set_wanted(it.wanted);
        for (const CreditLot &lot : it.deposits) {
            pb::CreditLot &deposit = *entry.add_deposits();
            deposit.set_expires_at_us(microseconds(lot.expiresAt.time_since_epoch()));
            deposit.set_amount(static_cast<uint64_t>(std::max<int64_t>(lot.amount, 0)));
        }
    }
}

void write(const CreditGrant &from, pb::Envelope &to)
{
    pb::CreditGrant &grant = *to.mutable_credit_grant();
    grant.set_number(from.number);
    grant.set_epoch(from.epoch);
    grant.set_clock_us(microseconds(from.clock.time_since_epoch()));
    for (const CreditShare &it : from.shares) {
        pb::CreditShare &share = *grant.add_shares();
        share.set_service(it.service);
        share.set_credits(it.credits);
        share.set_lifetime_us(microseconds(it.lifetime));
    }
}

Result<MessageBody> readAllowanceRequest(const pb::AllowanceRequest &from)
{
    AllowanceRequest out{.number = from.number(), .wants = {}};
    if (from.wants_size() > MaxItems) {
        return fail(Code::BadMessage, "allowance_request: has too many items");
    }
    for (const pb::AllowanceWant &it : from.wants()) {
        if (const auto checked = checkAllowanceKey(it.key(), "allowance_request.key"); !checked) {
            return tl::make_unexpected(checked.error());
        }
        if (!isAmount(it.per_second(), MaxAllowance) || !isAmount(it.burst(), MaxAllowance)
            || it.tokens() > static_cast<uint32_t>(MaxCount)) {
            return fail(Code::BadMessage, "allowance_request: a field is out of range");
        }
        out.wants.push_back({it.key(), {it.per_second(), it.burst(), it.version()}, it.tokens()});
    }
    return out;
}

Result<MessageBody> readAllowanceGrant(const pb::AllowanceGrant &from)
{
    AllowanceGrant out{.number = from.number(), .shares = {}};
    if (from.shares_size() > MaxItems) {
        return fail(Code::BadMessage, "allowance_grant: has too many items");
    }
    for (const pb::AllowanceShare &it : from.shares()) {
        if (const auto checked = checkAllowanceKey(it.key(), "allowance_grant.key"); !checked) {
            return tl::make_unexpected(checked.error());
        }
        if (it.tokens() > static_cast<uint32_t>(MaxCount) || it.retry_after_us() > MaxAgeMicroseconds
            || !isAmount(it.usage(), MaxAllowance)) {
            return fail(Code::BadMessage, "allowance_grant: a field is out of range");
        }
        out.shares.push_back({it.key(), it.tokens(), std::chrono::microseconds(it.retry_after_us()), it.usage()});
    }
    return out;
}

Result<MessageBody> readCreditRequest(const pb::CreditRequest &from)
{
    CreditRequest out{from.sender(), from.number(), from.epoch(), {}};
    if (from.entries_size() > MaxItems) {
        return fail(Code::BadMessage, "credit_request: has too many items");
    }
    for (const pb::CreditEntry &it : from.entries()) {
        auto entry = readCreditEntry(it);
        if (!entry) {
            return tl::make_unexpected(entry.error());
        }
        out.entries.push_back(std::move(*entry));
    }
    return out;
}

Result<MessageBody> readCreditGrant(const pb::CreditGrant &from)
{
    if (from.shares_size() > MaxItems || from.clock_us() > MaxClockMicroseconds) {
        return fail(Code::BadMessage, "credit_grant: a field is out of range");
    }
    CreditGrant out{from.number(), from.epoch(), TimePoint(std::chrono::microseconds(from.clock_us())), {}};
    for (const pb::CreditShare &it : from.shares()) {
        if (const auto checked = checkCreditService(it.service(), "credit_grant.service"); !checked) {
            return tl::make_unexpected(checked.error());
        }
        if (it.credits() > static_cast<uint32_t>(MaxCount) || it.lifetime_us() > MaxAgeMicroseconds) {
            return fail(Code::BadMessage, "credit_grant: a share is out of range");
        }
        out.shares.push_back({it.service(), it.credits(), std::chrono::microseconds(it.lifetime_us())});
    }
    return out;
}

} // namespace damask
