#include <rapidcheck.h>

#include "base/hash.h"
#include "wire/document_codec.h"
#include "wire/message.h"

#include <criterion/criterion.h>
#include <limits>

using namespace damask;

namespace {

std::string nameOf(int n)
{
    return "n" + std::to_string(100000 + n);
}

Configuration arbitraryConfiguration(uint64_t revision)
{
    Configuration out;
    out.revision = revision;
    const int services = *rc::gen::inRange(0, 5);
    for (int n = 0; n < services; ++n) {
        Service service;
        service.name = nameOf(n);
        service.version = *rc::gen::arbitrary<uint64_t>();
        service.pool = nameOf(n);
        service.deadline = std::chrono::milliseconds(*rc::gen::inRange(0, 100000));
        service.hedge = *rc::gen::arbitrary<bool>();
        service.retryRatio = *rc::gen::inRange(0, 100) / 100.0;
        out.services.push_back(service);
        Pool pool{nameOf(n), 1, {}};
        for (int it = 0; it < n; ++it) {
            pool.targets.push_back({nameOf(it), "10.0.0.1", static_cast<uint16_t>(1 + it), "dc", 1 + it, it % 2 == 0});
        }
        out.pools.push_back(pool);
        out.rules.push_back({nameOf(n), 2, "host", "/p", nameOf(n), Idempotency::Never, {"dc"}});
        out.keys.push_back({nameOf(n), 3, "key", n % 2 == 0});
        out.links.push_back({nameOf(n), 1, std::chrono::milliseconds(n)});
        out.dataCentres.push_back({nameOf(n), 4, "region"});
    }
    return out;
}

ControlDocument arbitraryDocument()
{
    ControlDocument out;
    out.accepted = arbitraryConfiguration(*rc::gen::inRange<uint64_t>(0, 1000));
    if (*rc::gen::arbitrary<bool>()) {
        out.staged = StagedTicket{5, arbitraryConfiguration(out.accepted.revision + 1)};
    }
    out.journal.push_back({4, *rc::gen::arbitrary<uint64_t>(), "ana", "why\nnot", TicketState::Refused,
                           Code::StaleTicket, "detail", 7, 8, 9});
    return out;
}

AllowanceRequest allowanceRequest()
{
    return {.number = 7, .wants = {{"account/a", {12.5, 30, 5}, 3}, {"target/pool/t@9", {4, 2, 5}, 1}}};
}

AllowanceGrant allowanceGrant()
{
    return {.number = 7,
            .shares = {{"account/a", 2, std::chrono::milliseconds(80), 0.5}, {"target/pool/t@9", 1, {}, 0.25}}};
}

/// Returns the bytes with a few of them overwritten, inserted or truncated.
std::string corrupted(std::string bytes)
{
    const int changes = *rc::gen::inRange(1, 4);
    for (int n = 0; n < changes && !bytes.empty(); ++n) {
        const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
        const int kind = *rc::gen::inRange(0, 3);
        if (kind == 0) {
            bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        } else if (kind == 1) {
            bytes.resize(at);
        } else {
            bytes.insert(at, 1, static_cast<char>(*rc::gen::inRange(0, 256)));
        }
    }
    return bytes;
}

} // namespace

Test(codec, decoding_an_encoded_document_restores_it)
{
    cr_assert(rc::check("round trip", [] {
        const ControlDocument document = arbitraryDocument();
        const auto decoded = decodeDocument(encodeDocument(document));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == document);
    }));
}

Test(codec, a_corrupted_document_is_refused_or_valid_and_never_terminates_the_process)
{
    cr_assert(rc::check("corrupted", [] {
        const auto decoded = decodeDocument(corrupted(encodeDocument(arbitraryDocument())));
        RC_ASSERT(decoded.has_value() || decoded.error().code == Code::BadMessage);
        if (decoded) {
            RC_ASSERT(decodeDocument(encodeDocument(*decoded)).has_value());
        }
    }));
}

Test(codec, a_corrupted_message_is_refused_or_valid_and_never_terminates_the_process)
{
    cr_assert(rc::check("corrupted", [] {
        const std::string bytes = encodeDocument(arbitraryDocument());
        const LoadUpdate loadUpdate{"pool/a", {3, 6, true}, std::chrono::milliseconds(4), true};
        const Message message{"entry-1", 9,
                              *rc::gen::element<MessageBody>(DocumentCopy{4, bytes, hashBytes(bytes), true},
                                                             LoadUpdateBatch{{loadUpdate, loadUpdate}},
                                                             EntryHello{4, 5}, Heartbeat{true, {MemberReport{}}},
                                                             allowanceRequest(), allowanceGrant())};
        const auto decoded = decodeMessage(corrupted(encodeMessage(message)));
        RC_ASSERT(decoded.has_value() || decoded.error().code == Code::BadMessage);
    }));
}

Test(codec, an_error_names_the_field_that_is_out_of_range)
{
    ControlDocument document;
    document.accepted.pools.push_back({"pool", 1, {{"a", "10.0.0.1", 0, "dc", 1, false}}});
    const auto port = decodeDocument(encodeDocument(document));
    cr_assert(!port && port.error().detail == "target.port: must be from 1 to 65535");
    document.accepted.pools.front().targets.front().port = 1;
    document.accepted.pools.push_back({"pool", 1, {}});
    cr_assert(decodeDocument(encodeDocument(document)).error().detail
              == "pools: must be in the order of names, each once");
    document.accepted.pools.pop_back();
    document.staged = StagedTicket{1, {}};
    document.staged->next.revision = 7;
    cr_assert(!decodeDocument(encodeDocument(document)));
}

Test(codec, a_document_copy_with_a_wrong_hash_is_refused)
{
    const Message message{"entry-1", 1, DocumentCopy{4, "bytes", hashBytes("other bytes"), true}};
    cr_assert(decodeMessage(encodeMessage(message)).error().code == Code::BadMessage);
}

Test(codec, allowance_messages_are_restored)
{
    const auto request = decodeMessage(encodeMessage({"node-1", 3, allowanceRequest()}));
    cr_assert(request.has_value());
    const auto &wants = std::get<AllowanceRequest>(request->body);
    cr_assert(wants.number == 7 && wants.wants.size() == 2);
    cr_assert(wants.wants[0].key == "account/a" && wants.wants[0].tokens == 3);
    cr_assert((wants.wants[0].limit == AllowanceLimit{12.5, 30, 5}));
    const auto grant = decodeMessage(encodeMessage({"node-1", 3, allowanceGrant()}));
    cr_assert(grant.has_value());
    const auto &shares = std::get<AllowanceGrant>(grant->body);
    cr_assert(shares.number == 7 && shares.shares.size() == 2);
    cr_assert(shares.shares[0].key == "account/a" && shares.shares[0].tokens == 2);
    cr_assert(shares.shares[0].retryAfter == std::chrono::milliseconds(80) && shares.shares[0].usage == 0.5);
}

// A rate that is not a number would make a bucket that never empties, and a huge one an overflow.
Test(codec, allowance_messages_with_a_field_out_of_range_are_refused)
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinite = std::numeric_limits<double>::infinity();
    for (const double bad : {nan, infinite, -infinite, -1.0, 1e13}) {
        AllowanceRequest request = allowanceRequest();
        request.wants[1].limit.perSecond = bad;
        cr_assert(!decodeMessage(encodeMessage({"node-1", 3, request})));
        request = allowanceRequest();
        request.wants[0].limit.burst = bad;
        cr_assert(!decodeMessage(encodeMessage({"node-1", 3, request})));
        AllowanceGrant grant = allowanceGrant();
        grant.shares[0].usage = bad;
        cr_assert(!decodeMessage(encodeMessage({"node-1", 3, grant})));
    }
    for (const std::string &key : {std::string(), std::string(257, 'x'), std::string("a\nb")}) {
        AllowanceRequest request = allowanceRequest();
        request.wants[1].key = key;
        cr_assert(!decodeMessage(encodeMessage({"node-1", 3, request})));
        AllowanceGrant grant = allowanceGrant();
        grant.shares[0].key = key;
        cr_assert(!decodeMessage(encodeMessage({"node-1", 3, grant})));
    }
    AllowanceRequest many = allowanceRequest();
    many.wants[0].tokens = 2000000;
    cr_assert(!decodeMessage(encodeMessage({"node-1", 3, many})));
    many = allowanceRequest();
    many.wants.resize(10001, many.wants[0]);
    cr_assert(!decodeMessage(encodeMessage({"node-1", 3, many})));
    AllowanceGrant late = allowanceGrant();
    late.shares[0].retryAfter = std::chrono::hours(25);
    cr_assert(!decodeMessage(encodeMessage({"node-1", 3, late})));
}

Test(codec, credit_messages_are_restored_and_refused_with_a_field_out_of_range)
{
    const TimePoint time{std::chrono::hours(100)};
    const CreditRequest request{~0ULL, 8, 9, {{"board", {{time, 1'500'000}, {time, 1}}, 3}, {"seats", {}, 1}}};
    const auto read = decodeMessage(encodeMessage({"node-1", 3, request}));
    cr_assert(read.has_value());
    const auto &got = std::get<CreditRequest>(read->body);
    cr_assert(got.sender == ~0ULL && got.number == 8 && got.epoch == 9 && got.entries.size() == 2);
    cr_assert(got.entries[0].service == "board" && got.entries[0].wanted == 3 && got.entries[0].deposits.size() == 2);
    cr_assert(got.entries[0].deposits[0].expiresAt == time && got.entries[0].deposits[0].amount == 1'500'000);
    const CreditGrant grant{8, 9, time, {{"board", 2, std::chrono::seconds(4)}}};
    const auto answer = decodeMessage(encodeMessage({"node-1", 3, grant}));
    cr_assert(answer.has_value());
    const auto &share = std::get<CreditGrant>(answer->body).shares.at(0);
    cr_assert(share.service == "board" && share.credits == 2 && share.lifetime == std::chrono::seconds(4));
    cr_assert(std::get<CreditGrant>(answer->body).clock == time && std::get<CreditGrant>(answer->body).epoch == 9);

    // A huge amount or time would overflow where it is added up.
    for (const CreditLot &lot : {CreditLot{time, CreditUnit * 2'000'000}, CreditLot{Never, 1}}) {
        cr_assert(!decodeMessage(encodeMessage({"node-1", 3, CreditRequest{1, 1, 1, {{"board", {lot}, 0}}}})));
    }
    cr_assert(!decodeMessage(encodeMessage({"node-1", 3, CreditRequest{1, 1, 1, {{"", {}, 1}}}})));
    cr_assert(!decodeMessage(encodeMessage({"node-1", 3, CreditGrant{1, 1, Never, {}}})));
    const CreditShare late{"board", 1, std::chrono::hours(25)};
    cr_assert(!decodeMessage(encodeMessage({"node-1", 3, CreditGrant{1, 1, time, {late}}})));
}

// CONFIG, DRAIN: without the era of its revisions, news of before a store's return looks like news of after it; without
// its gaps, a relay would answer for states that it can't complete.
Test(codec, positions_of_news_are_restored)
{
    const FollowRequest request{.number = 4, .revision = 7, .follows = true, .era = 3};
    const auto asked = decodeMessage(encodeMessage({"a", 1, request}));
    cr_assert(asked && (std::get<FollowRequest>(asked->body).position() == StorePosition{3, 7}));
    StoreNews news{.from = 7, .revision = 9, .era = 3, .gaps = {{7, 9}}};
    const auto answered = decodeMessage(encodeMessage({"a", 1, news}));
    cr_assert(answered && (std::get<StoreNews>(answered->body).position() == StorePosition{3, 9}));
    cr_assert(std::get<StoreNews>(answered->body).gaps == news.gaps);
    for (const HistoryGap &bad : {HistoryGap{8, 8}, HistoryGap{8, 7}, HistoryGap{8, 10}}) {
        news.gaps = {bad};
        cr_assert(!decodeMessage(encodeMessage({"a", 1, news})));
    }
}
