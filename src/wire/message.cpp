#include "wire/message.h"

#include "base/hash.h"
#include "inner.pb.h"
#include "wire/allowance_codec.h"
#include "wire/convert.h"

#include <algorithm>
#include <array>

namespace damask {

namespace {

constexpr uint32_t EnvelopeFormat = 1;
constexpr uint32_t MaxHops = 1000; // of StoreNews; real chains of nodes are far shorter

void write(const EntryHello &from, pb::Envelope &to)
{
    to.mutable_entry_hello()->set_revision(from.revision);
    to.mutable_entry_hello()->set_offer(from.offer);
}

void write(const ConfigurationOffer &from, pb::Envelope &to)
{
    to.mutable_offer()->set_offer(from.offer);
    toMessage(*from.configuration, *to.mutable_offer()->mutable_configuration());
}

void write(const OfferApplied &from, pb::Envelope &to)
{
    to.mutable_applied()->set_offer(from.offer);
    to.mutable_applied()->set_revision(from.revision);
}

void write(const LoadUpdateBatch &from, pb::Envelope &to)
{
    pb::NewsBatch &batch = *to.mutable_news();
    for (const LoadUpdate &it : from.updates) {
        pb::LoadNews &news = *batch.add_news();
        news.set_target(it.target);
        news.set_in_flight(static_cast<uint32_t>(std::max(it.report.inFlight, 0)));
        news.set_slots(static_cast<uint32_t>(std::max(it.report.slots, 0)));
        news.set_draining(it.report.draining);
        news.set_age_us(microseconds(it.age));
        news.set_leaving(it.leaving);
    }
}

void write(const DocumentCopy &from, pb::Envelope &to)
{
    pb::DocumentCopy &copy = *to.mutable_document();
    copy.set_version(from.version);
    copy.set_document(from.document);
    copy.set_hash(from.hash);
    copy.set_store_reachable(from.storeReachable);
}

void write(const DocumentRequest &from, pb::Envelope &to)
{
    to.mutable_request()->set_version(from.version);
}

void write(const Heartbeat &from, pb::Envelope &to)
{
    pb::Heartbeat &heartbeat = *to.mutable_heartbeat();
    heartbeat.set_store_reachable(from.storeReachable);
    for (const MemberReport &it : from.members) {
        pb::MemberReport &report = *heartbeat.add_members();
        report.set_name(it.instance.name);
        report.set_data_centre(it.instance.dataCentre);
        report.set_region(it.instance.region);
        report.set_keeper(it.instance.keeper);
        report.set_incarnation(it.instance.incarnation);
        report.set_leaving(it.instance.state == InstanceState::Leaving);
        report.set_confirmed(it.confirmed);
        report.set_version(it.version);
        report.set_age_us(microseconds(it.age));
    }
}

void write(const FollowRequest &from, pb::Envelope &to)
{
    to.mutable_follow()->set_number(from.number);
    to.mutable_follow()->set_revision(from.revision);
    to.mutable_follow()->set_follows(from.follows);
    to.mutable_follow()->set_endpoint(from.endpoint);
    to.mutable_follow()->set_data_centre(from.dataCentre);
    to.mutable_follow()->set_link_bytes_per_second(from.linkBytesPerSecond);
    to.mutable_follow()->set_unpacks(from.unpacks);
    to.mutable_follow()->set_era(from.era);
}

void write(const StoreNews &from, pb::Envelope &to)
{
    pb::StoreNews &news = *to.mutable_store_news();
    news.set_number(from.number);
    news.set_from(from.from);
    news.set_revision(from.revision);
    news.set_age_us(std::min(microseconds(from.age), MaxAgeMicroseconds));
    news.set_hops(static_cast<uint32_t>(std::max(from.hops, 0)));
    news.set_whole(from.whole);
    news.set_more(from.more);
    news.set_relay(from.relay);
    news.set_era(from.era);
    for (const HistoryGap &it : from.gaps) {
        pb::HistoryGap &gap = *news.add_gaps();
        gap.set_after(it.after);
        gap.set_up_to(it.upTo);
    }
    for (const StoreChange &it : from.changes) {
        pb::StoreChange &change = *news.add_changes();
        change.set_key(it.key);
        change.set_value(it.value.value_or(""));
        change.set_removed(!it.value.has_value());
        change.set_revision(it.revision);
    }
    for (const PackedChange &it : from.packed) {
        pb::PackedChange &change = *news.add_packed();
        change.set_key(it.key);
        change.set_frame(it.value.bytes);
        change.set_size(it.value.size);
        change.set_digest(it.value.digest);
        change.set_base(it.base);
        change.set_revision(it.revision);
    }
}

Result<MessageBody> readOffer(const pb::ConfigurationOffer &from)
{
    auto configuration = fromMessage(from.configuration());
    if (!configuration) {
        return tl::make_unexpected(configuration.error());
    }
    return ConfigurationOffer{from.offer(), std::make_shared<const Configuration>(std::move(*configuration))};
}

Result<MessageBody> readLoadUpdates(const pb::NewsBatch &from)
{
    LoadUpdateBatch out;
    if (from.news_size() > MaxItems) {
        return fail(Code::BadMessage, "news: has too many items");
    }
    for (const pb::LoadNews &it : from.news()) {
        if (const auto checked = checkText(it.target(), 2 * MaxNameBytes, "news.target"); !checked) {
            return tl::make_unexpected(checked.error());
        }
        const uint32_t maxCount = static_cast<uint32_t>(MaxCount);
        if (it.target().empty() || it.in_flight() > maxCount || it.slots() > maxCount
            || it.age_us() > MaxAgeMicroseconds) {
            return fail(Code::BadMessage, "news: a field is out of range");
        }
        out.updates.push_back({.target = it.target(),
                               .report = {.inFlight = static_cast<int>(it.in_flight()),
                                          .slots = static_cast<int>(it.slots()),
                                          .draining = it.draining()},
                               .age = std::chrono::microseconds(it.age_us()),
                               .leaving = it.leaving()});
    }
    return out;
}

Result<MessageBody> readDocument(const pb::DocumentCopy &from)
{
    if (hashBytes(from.document()) != from.hash()) {
        return fail(Code::BadMessage, "document: the hash does not match the content");
    }
    return DocumentCopy{from.version(), from.document(), from.hash(), from.store_reachable()};
}

Result<MemberReport> readReport(const pb::MemberReport &from)
{
    for (const std::string *it : {&from.name(), &from.data_centre(), &from.region(), &from.keeper()}) {
        if (const auto checked = checkText(*it, MaxNameBytes, "heartbeat.member"); !checked) {
            return tl::make_unexpected(checked.error());
        }
    }
    if (from.name().empty() || from.age_us() > MaxAgeMicroseconds) {
        return fail(Code::BadMessage, "heartbeat.member: a field is out of range");
    }
    MemberReport out;
    out.instance.name = from.name();
    out.instance.dataCentre = from.data_centre();
    out.instance.region = from.region();
    out.instance.keeper = from.keeper();
    out.instance.incarnation = from.incarnation();
    out.instance.state = from.leaving() ? InstanceState::Leaving : InstanceState::Live;
    out.confirmed = from.confirmed();
    out.version = from.version();
    out.age = std::chrono::microseconds(from.age_us());
    return out;
}

Result<MessageBody> readHeartbeat(const pb::Heartbeat &from)
{
    Heartbeat out;
    out.storeReachable = from.store_reachable();
    if (from.members_size() > MaxItems) {
        return fail(Code::BadMessage, "heartbeat: has too many items");
    }
    for (const pb::MemberReport &it : from.members()) {
        auto report = readReport(it);
        if (!report) {
            return tl::make_unexpected(report.error());
        }
        out.members.push_back(std::move(*report));
    }
    return out;
}

Result<MessageBody> readFollowRequest(const pb::FollowRequest &from)
{
    for (const std::string *it : {&from.endpoint(), &from.data_centre()}) {
        if (const auto checked = checkText(*it, MaxNameBytes, "follow"); !checked) {
            return tl::make_unexpected(checked.error());
        }
    }
    return FollowRequest{.number = from.number(),
                         .revision = from.revision(),
                         .follows = from.follows(),
                         .endpoint = from.endpoint(),
                         .dataCentre = from.data_centre(),
                         .linkBytesPerSecond = from.link_bytes_per_second(),
                         .unpacks = from.unpacks(),
                         .era = from.era()};
}

Result<PackedChange> readPackedChange(const pb::PackedChange &from, uint64_t latestRevision)
{
    if (const auto checked = checkText(from.key(), MaxNameBytes, "store_news.packed.key"); !checked) {
        return tl::make_unexpected(checked.error());
    }
    if (from.size() > MaxPackedValueBytes || from.revision() > latestRevision || from.base() >= from.revision()) {
        return fail(Code::BadMessage, "store_news.packed: a field is out of range");
    }
    return PackedChange{.key = from.key(),
                        .value = {from.frame(), from.size(), from.digest()},
                        .base = from.base(),
                        .revision = from.revision()};
}

Result<MessageBody> readStoreNews(const pb::StoreNews &from)
{
    if (from.changes_size() > MaxItems || from.packed_size() > MaxItems || from.gaps_size() > MaxItems
        || from.age_us() > MaxAgeMicroseconds || from.hops() > MaxHops) {
        return fail(Code::BadMessage, "store_news: a field is out of range");
    }
    if (const auto checked = checkText(from.relay(), MaxNameBytes, "store_news.relay"); !checked) {
        return tl::make_unexpected(checked.error());
    }
    StoreNews out{.number = from.number(),
                  .from = from.from(),
                  .revision = from.revision(),
                  .age = std::chrono::microseconds(from.age_us()),
                  .hops = static_cast<int>(from.hops()),
                  .whole = from.whole(),
                  .more = from.more(),
                  .changes = {},
                  .packed = {},
                  .relay = from.relay(),
                  .era = from.era()};
    for (const pb::StoreChange &it : from.changes()) {
        if (const auto checked = checkText(it.key(), MaxNameBytes, "store_news.key"); !checked) {
            return tl::make_unexpected(checked.error());
        }
        if (it.revision() > from.revision()) {
            return fail(Code::BadMessage, "store_news: a change has a higher revision than the message");
        }
        out.changes.push_back({it.key(), it.removed() ? std::nullopt : std::optional(it.value()), it.revision()});
    }
    for (const pb::PackedChange &it : from.packed()) {
        auto change = readPackedChange(it, from.revision());
        if (!change) {
            return tl::make_unexpected(change.error());
        }
        out.packed.push_back(std::move(*change));
    }
    uint64_t previous = 0;
    for (const pb::HistoryGap &it : from.gaps()) {
        if (it.after() < previous || it.up_to() <= it.after() || it.up_to() > from.revision()) {
            return fail(Code::BadMessage, "store_news.gaps: a revision is out of range");
        }
        previous = it.up_to();
        out.gaps.push_back({it.after(), it.up_to()});
    }
    return out;
}

Result<MessageBody> readBody(const pb::Envelope &from)
{
    switch (from.body_case()) {
    case pb::Envelope::kEntryHello:
        return EntryHello{from.entry_hello().revision(), from.entry_hello().offer()};
    case pb::Envelope::kOffer:
        return readOffer(from.offer());
    case pb::Envelope::kApplied:
        return OfferApplied{from.applied().offer(), from.applied().revision()};
    case pb::Envelope::kNews:
        return readLoadUpdates(from.news());
    case pb::Envelope::kDocument:
        return readDocument(from.document());
    case pb::Envelope::kRequest:
        return DocumentRequest{from.request().version()};
    case pb::Envelope::kHeartbeat:
        return readHeartbeat(from.heartbeat());
    case pb::Envelope::kFollow:
        return readFollowRequest(from.follow());
    case pb::Envelope::kStoreNews:
        return readStoreNews(from.store_news());
    case pb::Envelope::kAllowanceRequest:
        return readAllowanceRequest(from.allowance_request());
    case pb::Envelope::kAllowanceGrant:
        return readAllowanceGrant(from.allowance_grant());
    case pb::Envelope::kCreditRequest:
        return readCreditRequest(from.credit_request());
    case pb::Envelope::kCreditGrant:
        return readCreditGrant(from.credit_grant());
    case pb::Envelope::BODY_NOT_SET:
        break;
    }
    return fail(Code::BadMessage, "the message has no body or one of an unknown type");
}

} // namespace

std::string_view kindOf(const MessageBody &body)
{
    constexpr std::array<std::string_view, std::variant_size_v<MessageBody>> Kinds = {
        "entry-hello",      "configuration-offer", "offer-applied",  "load-updates", "document-copy",
        "document-request", "heartbeat",           "follow-request", "store-news",   "allowance-request",
        "allowance-grant",  "credit-request",      "credit-grant"};
    return Kinds[body.index()];
}

std::string encodeMessage(const Message &message)
{
    pb::Envelope to;
    to.set_format(EnvelopeFormat);
    to.set_sender(message.sender);
    to.set_incarnation(message.incarnation);
    std::visit([&to](const auto &body) { write(body, to); }, message.body);
    return to.SerializeAsString();
}

Result<Message> decodeMessage(std::string_view bytes)
{
    pb::Envelope from;
    if (bytes.size() > MaxMessageBytes) {
        return fail(Code::BadMessage, "the message is too large");
    }
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || from.format() != EnvelopeFormat) {
        return fail(Code::BadMessage, "the message is malformed or has an unsupported format version");
    }
    const auto sender = checkText(from.sender(), MaxNameBytes, "sender");
    if (!sender || from.sender().empty()) {
        return fail(Code::BadMessage, "sender: must be a valid name");
    }
    auto body = readBody(from);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    return Message{from.sender(), from.incarnation(), std::move(*body)};
}

} // namespace damask
