/// A chain of services, each behind a real dispatcher: the target of one calls the next. All in virtual time.
#pragma once

#include "fakes/fake_back.h"
#include "fakes/fake_beside.h"
#include "route/dispatcher.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace damask {

class FakeChain
{
public:
    using Bottom = std::function<AttemptResult(const Attempt &)>; // the target that calls no other

    FakeChain(int depth, Bottom bottom)
        : m_bottom(std::move(bottom))
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
    size_t sentInAll() const
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
        DispatcherHooks hooks(FakeBack::Send send)
        {
            DispatcherHooks out = back.hooks(std::move(send));
            out.runAsync = beside.hook();
            return out;
        }

        FakeBack   back;
        FakeBeside beside;
        size_t     sent = 0;
        Dispatcher dispatcher;
    };

    CallResponse callLevel(int level, CallRequest it)
    {
        CancelToken cancel;
        Level      &at = *m_levels[static_cast<size_t>(level)];
        it.arrivedAt = clock.now();
        const CallResponse out = at.dispatcher.dispatch(it, cancel);
        at.beside.run();
        return out;
    }
    AttemptResult send(Level &at, int level, const Attempt &it)
    {
        ++at.sent;
        const TimePoint began = clock.now();
        AttemptResult   out = level + 1 == static_cast<int>(m_levels.size()) ? m_bottom(it) : runTarget(level, it);
        out.elapsed = clock.now() - began;
        if (level == 0 && it.number == 1 && out.elapsed >= HedgeAfter) {
            at.beside.run(); // the timer would wait if it were not due
        }
        return it.cancel->cancelled() ? ended(AttemptEnd::Lost, Code::Cancelled) : out;
    }
    /// A target passes on what the service below it said, as the one that makes most retries would.
    AttemptResult runTarget(int level, const Attempt &it)
    {
        CallRequest below = it.request;
        below.depth = it.request.depth + 1;
        below.timeLeft = it.timeLeft;
        const CallResponse got = callLevel(level + 1, std::move(below));
        AttemptResult      out = answered(got.status, got.body);
        if (got.status == 503) {
            out.response.headers = {{"Retry-After", "1"}};
        }
        return out;
    }

    static constexpr Duration HedgeAfter = std::chrono::milliseconds(50); // as Service has it by default

    Bottom                              m_bottom;
    std::vector<std::unique_ptr<Level>> m_levels;
};

} // namespace damask
