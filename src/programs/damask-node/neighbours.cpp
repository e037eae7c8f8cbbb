#include "programs/damask-node/neighbours.h"

#include "base/lock.h"
#include "base/log.h"
#include "follow/relay_choice.h"
#include "wire/node.h"

#include <algorithm>
#include <map>
#include <random>

namespace damask {

namespace {

constexpr double LinkSecondsPerChange = 0.1; // seconds of link capacity for one change, to all followers together
constexpr size_t MinNewsBytes = 1024;        // allowed in an answer even on the slowest link
constexpr double TransitSafety = 2;          // the link carries callers' traffic besides
constexpr size_t SendQueueLimit = 8; // messages queued per connection; bounds what a seed that was down receives later
constexpr size_t ReceiveQueueLimit = 8; // messages of one connection that wait to be read; bounds memory

// After a loss of all nodes, quotas are granted only once the nodes are connected to the seeds again.
constexpr Duration ReconnectFirst = std::chrono::milliseconds(50);
constexpr Duration ReconnectMax = std::chrono::milliseconds(250);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

/// A node that follows this one.
struct FollowerEntry {
    WireSource source;
    StorePosition position; // that it has, or was sent
    bool unpacks = false;
    TimePoint askedAt{};
    TimePoint inTransitUntil{}; // what it was sent may not have arrived before
};

size_t bytesOf(const StoreNews &news)
{
    size_t out = 0;
    for (const StoreChange &it : news.changes) {
        out += it.key.size() + (it.value ? it.value->size() : 0);
    }
    for (const PackedChange &it : news.packed) {
        out += it.value.bytes.size();
    }
    return out;
}

std::string peerAddress(std::string_view endpoint)
{
    return "tcp://" + std::string(endpoint);
}

} // namespace

struct Neighbours::State {
    State(Clock &clockIn, Metrics &metricsIn, const NeighbourOptions &optionsIn, NeighbourHooks hooksIn);

    void receive(const WireSource &source, const Message &message);
    void answer(const WireSource &source, const FollowRequest &asked);
    std::string endpoint() const;
    size_t maxBytes(size_t receivers) const;
    size_t addFollower(const WireSource &source, FollowRequest &request, std::string &relay);
    void noteSent(const WireSource &source, const StoreNews &news, size_t receivers);
    Duration transitTime(size_t bytes, size_t receivers) const;
    void removeSilentFollowers(TimePoint now);
    Message messageOf(MessageBody body) const;
    void sendTo(std::string_view address, MessageBody body);

    Clock &clock;
    Metrics &metrics;
    NeighbourOptions options;
    NeighbourHooks hooks;
    uint64_t incarnation = std::random_device()();
    mutable RankedMutex mutex{LockRank::Wire};
    std::map<std::string, FollowerEntry> followers; // by routing ID; under mutex
    RelayChoice relays;                             // under mutex
    bool started = false;
    WireNode wire;
};

Neighbours::State::State(Clock &clockIn, Metrics &metricsIn, const NeighbourOptions &optionsIn, NeighbourHooks hooksIn)
    : clock(clockIn)
    , metrics(metricsIn)
    , options(optionsIn)
    , hooks(std::move(hooksIn))
    , relays({.dataCentre = optionsIn.dataCentre, .followerTimeout = optionsIn.followerTimeout})
    , wire(clockIn, metricsIn,
           {.name = optionsIn.instance,
            .listeners = {{peerAddress(optionsIn.address + ":"
                                       + (optionsIn.port == 0 ? "*" : std::to_string(optionsIn.port))),
                           "peer",
                           {}}},
            .sendLimit = SendQueueLimit,
            .receiveLimit = ReceiveQueueLimit,
            .reconnectFirst = ReconnectFirst,
            .reconnectMax = ReconnectMax,
            .connectTimeout = ConnectTimeout},
           {.receive = [this](const WireSource &source, const Message &message) {
               receive(source, message);
           }})
{
}

Message Neighbours::State::messageOf(MessageBody body) const
{
    return {options.instance, incarnation, std::move(body)};
}

/// Never waits for the network; a message that finds the queue full is lost.
void Neighbours::State::sendTo(std::string_view address, MessageBody body)
{
    const WirePeer peer{.address = peerAddress(address), .serverKey = {}, .key = {}};
    if (!wire.send(peer, messageOf(std::move(body)))) {
        metrics.countCode("damask_wire_refusals_total", Code::QueueFull);
    }
}

void Neighbours::State::receive(const WireSource &source, const Message &message)
{
    if (const auto *request = std::get_if<FollowRequest>(&message.body)) {
        answer(source, *request);
    } else if (const auto *news = std::get_if<StoreNews>(&message.body)) {
        hooks.newsReceived(*news);
    } else if (const auto *wants = std::get_if<AllowanceRequest>(&message.body); wants && hooks.grantAllowances) {
        if (!wire.reply(source, messageOf(hooks.grantAllowances(*wants)))) {
            metrics.countCode("damask_wire_refusals_total", Code::QueueFull);
        }
    } else if (const auto *grant = std::get_if<AllowanceGrant>(&message.body);
               grant && hooks.allowancesGranted && source.domain.empty()) { // over a connection that this node opened
        hooks.allowancesGranted(*grant);
    } else if (const auto *credit = std::get_if<CreditRequest>(&message.body); credit && hooks.grantCredit) {
        if (auto out = hooks.grantCredit(*credit); out && !wire.reply(source, messageOf(std::move(*out)))) {
            metrics.countCode("damask_wire_refusals_total", Code::QueueFull);
        }
    } else if (const auto *received = std::get_if<CreditGrant>(&message.body);
               received && hooks.creditGranted && source.domain.empty()) { // over a connection that this node opened
        hooks.creditGranted(*received);
    } else {
        metrics.countCode("damask_wire_refusals_total", Code::BadMessage);
        logEvent(Severity::Warning, "message-refused",
                 {{"code", codeNumber(Code::BadMessage)}, {"sender", message.sender}, {"reason", "not for a node"}});
    }
}

void Neighbours::State::answer(const WireSource &source, const FollowRequest &asked)
{
    std::string relay;
    FollowRequest request = asked;
    const size_t receivers = request.follows ? addFollower(source, request, relay) : 1;
    StoreNews news = hooks.news(request, maxBytes(receivers));
    news.relay = std::move(relay);
    if (!wire.reply(source, messageOf(news))) {
        metrics.countCode("damask_wire_refusals_total", Code::QueueFull);
    } else if (request.follows) {
        noteSent(source, news, receivers);
    }
}

/// Estimated until a message of this size has arrived, when all receivers are sent one at once.
Duration Neighbours::State::transitTime(size_t bytes, size_t receivers) const
{
    const double total = static_cast<double>(bytes) * static_cast<double>(std::max<size_t>(receivers, 1));
    const double seconds = TransitSafety * total / static_cast<double>(std::max<size_t>(options.linkBytesPerSecond, 1));
    return std::min(fromMilliseconds(1000 * seconds), options.followerTimeout);
}

void Neighbours::State::noteSent(const WireSource &source, const StoreNews &news, size_t receivers)
{
    LockGuard lock(mutex);
    const auto it = followers.find(source.routingId);
    if (it == followers.end() || !news.whole || news.position() <= it->second.position) {
        return;
    }
    it->second.position = news.position();
    it->second.inTransitUntil = clock.now() + transitTime(bytesOf(news), receivers);
}

size_t Neighbours::State::maxBytes(size_t receivers) const
{
    const double share = static_cast<double>(options.linkBytesPerSecond) * LinkSecondsPerChange;
    return std::max(static_cast<size_t>(share) / std::max<size_t>(receivers, 1), MinNewsBytes);
}

/// Address and port at which other nodes can follow this one.
std::string Neighbours::State::endpoint() const
{
    return wire.address(0).substr(peerAddress("").size());
}

/// Returns the number of followers, including this one, and sets the endpoint that it should follow instead. Changes
/// that are on their way to the follower are not sent again: messages arrive in order, so the answer may begin after
/// them.
size_t Neighbours::State::addFollower(const WireSource &source, FollowRequest &request, std::string &relay)
{
    const TimePoint now = clock.now();
    LockGuard lock(mutex);
    removeSilentFollowers(now);
    const bool isNew = !followers.contains(source.routingId);
    FollowerEntry &entry = followers[source.routingId];
    if (now < entry.inTransitUntil) {
        const StorePosition sent = std::max(request.position(), entry.position);
        request.era = sent.era;
        request.revision = sent.revision;
    }
    entry.source = source;
    entry.position = request.position();
    entry.unpacks = request.unpacks;
    entry.askedAt = now;
    relay = relays.recordRequest(request, now);
    if (isNew) {
        logEvent(
            Severity::Info, "follower-came",
            {{"followers", static_cast<uint64_t>(followers.size())}, {"revision", request.revision}, {"relay", relay}});
    }
    return followers.size();
}

/// The caller holds the mutex.
void Neighbours::State::removeSilentFollowers(TimePoint now)
{
    const size_t silent =
        std::erase_if(followers, [&](const auto &it) { return now - it.second.askedAt > options.followerTimeout; });
    if (silent > 0) {
        logEvent(Severity::Info, "followers-silent",
                 {{"silent", static_cast<uint64_t>(silent)}, {"followers", static_cast<uint64_t>(followers.size())}});
    }
}

Neighbours::Neighbours(Clock &clock, Metrics &metrics, const NeighbourOptions &options, NeighbourHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(hooks)))
{
}

Neighbours::~Neighbours()
{
    stop();
}

Result<void> Neighbours::start()
{
    if (m_state->options.address.empty()) {
        return {};
    }
    return m_state->wire.start().map([this] { m_state->started = true; });
}

void Neighbours::stop()
{
    if (std::exchange(m_state->started, false)) {
        m_state->wire.stop();
    }
}

void Neighbours::sendRequests(std::span<const SeedRequest> requests)
{
    for (const SeedRequest &it : requests) {
        FollowRequest request = it.request;
        request.endpoint = m_state->endpoint();
        request.dataCentre = m_state->options.dataCentre;
        request.linkBytesPerSecond = m_state->options.linkBytesPerSecond;
        m_state->sendTo(it.address, std::move(request));
    }
}

void Neighbours::sendAllowanceRequest(std::string_view address, const AllowanceRequest &request)
{
    m_state->sendTo(address, request);
}

void Neighbours::sendCreditRequest(std::string_view address, const CreditRequest &request)
{
    m_state->sendTo(address, request);
}

void Neighbours::notifyFollowers()
{
    std::vector<FollowerEntry> all;
    {
        LockGuard lock(m_state->mutex);
        m_state->removeSilentFollowers(m_state->clock.now());
        for (auto &[routingId, it] : m_state->followers) {
            all.push_back(it);
        }
    }
    const size_t maxNewsBytes = m_state->maxBytes(all.size());
    for (const FollowerEntry &it : all) {
        const StoreNews news = m_state->hooks.news(
            {.revision = it.position.revision, .follows = true, .unpacks = it.unpacks, .era = it.position.era},
            maxNewsBytes);
        if (news.whole && news.changes.empty() && news.packed.empty()) {
            continue; // it has all changes already
        }
        if (!m_state->wire.reply(it.source, m_state->messageOf(news))) {
            m_state->metrics.countCode("damask_wire_refusals_total", Code::QueueFull);
            continue;
        }
        m_state->noteSent(it.source, news, all.size());
    }
}

size_t Neighbours::followers() const
{
    LockGuard lock(m_state->mutex);
    return m_state->followers.size();
}

uint16_t Neighbours::port() const
{
    const std::string bound = m_state->wire.address(0);
    return static_cast<uint16_t>(std::stoul(bound.substr(bound.rfind(':') + 1)));
}

} // namespace damask
