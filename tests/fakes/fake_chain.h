/// A chain of services in virtual time, each behind a real dispatcher: the target of one service calls the next.
#pragma once

#include "fakes/fake_async_runner.h"
#include "fakes/fake_sender.h"
#include "route/dispatcher.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace damask {

class FakeChain
{
public:
    using LeafTarget = std::function<AttemptResult(const Attempt &)>; // the last target, which calls no other

    FakeChain(int depth, LeafTarget leafTarget)
        : m_leafTarget(std::move(leafTarget))
    {
        clock.pause();
        Configuration configuration = oneService();
        configuration.services[0].hedge = true;
        for (int n = 0; n < depth; ++n) {
            m_levels.push_back(std::make_unique<Level>(*this, n));
            m_levels.back()->dispatcher.apply(std::make_shared<Configuration>(configuration));
        }
    }
    CallResponse call(std::string_view method = "GET")
    {
        CallRequest top = request(method);
        top.timeLeft = std::chrono::seconds(10);
        return callLevel(0, std::move(top));
    }
    size_t sent(int level) const
    {
        return m_levels[static_cast<size_t>(level)]->sent;
    }
    size_t totalSent() const
    {
        size_t out = 0;
        for (const auto &it : m_levels) {
            out += it->sent;
        }
        return out;
    }

    Clock   clock;
    Metrics metrics;

private:
    struct Level {
        Level(FakeChain &chain, int number)
            : dispatcher(chain.clock, chain.metrics, {.traceCapacity = 1},
                         hooks([this, &chain, number](const Attempt &it) { return chain.send(*this, number, it); }))
        {
        }
        DispatcherHooks hooks(FakeSender::Send send)
        {
            DispatcherHooks out = sender.hooks(std::move(send));
            out.runAsync = asyncRunner.hook();
            return out;
        }

        FakeSender      sender;
        FakeAsyncRunner asyncRunner;
        size_t          sent = 0;
        Dispatcher      dispatcher;
    };

    CallResponse callLevel(int level, CallRequest it)
    {
        CancelToken cancel;
        Level      &at = *m_levels[static_cast<size_t>(level)];
        it.arrivedAt = clock.now();
        const CallResponse out = at.dispatcher.dispatch(it, cancel);
        at.asyncRunner.run();
        return out;
    }
    AttemptResult send(Level &at, int level, const Attempt &it)
    {
        ++at.sent;
        const TimePoint began = clock.now();
        AttemptResult   out = level + 1 == static_cast<int>(m_levels.size()) ? m_leafTarget(it) : runTarget(level, it);
        out.elapsed = clock.now() - began;
        if (level == 0 && it.number == 1 && out.elapsed >= HedgeAfter) {
            at.asyncRunner.run(); // before it is due, the timer would block
        }
        return it.cancel->cancelled() ? ended(AttemptEnd::Lost, Code::Cancelled) : out;
    }
    /// Forwards the response of the next service, which is the target behaviour that causes the most retries.
    AttemptResult runTarget(int level, const Attempt &it)
    {
        CallRequest nextRequest = it.request;
        nextRequest.depth = it.request.depth + 1;
        nextRequest.timeLeft = it.timeLeft;
        const CallResponse got = callLevel(level + 1, std::move(nextRequest));
        AttemptResult      out = answered(got.status, got.body);
        if (got.status == 503) {
            out.response.headers = {{"Retry-After", "1"}};
        }
        return out;
    }

    static constexpr Duration HedgeAfter = std::chrono::milliseconds(50); // the default of Service

    LeafTarget                          m_leafTarget;
    std::vector<std::unique_ptr<Level>> m_levels;
};

} // namespace damask
