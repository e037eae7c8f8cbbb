// Model-based test: random operations on a balancer, checked against a simple model of permits, targets and waits.
#include "fakes/fleet.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <set>

using namespace damask;
using namespace damask::fakes;
using namespace std::chrono_literals;

namespace {

constexpr int Targets = 7;
constexpr double RegionBytes = 4000;

/// The invariants, tracked independently of the balancer's own state.
class Model
{
public:
    Model()
        : m_configuration(twoRegions())
        , m_fixture(m_configuration)
        , m_from(m_fixture.clock.now())
    {
    }
    void step(int kind, int value)
    {
        switch (kind) {
        case 0:
        case 1:
        case 2:
            acquire(value);
            break;
        case 3:
        case 4:
            finish(value);
            break;
        case 5:
            m_fixture.clock.advance(std::chrono::milliseconds(value));
            m_fixture.balancer.processQueue("listings");
            break;
        case 6:
            drain(value);
            break;
        default:
            reconfigure(value);
            break;
        }
        check();
    }
    void end()
    {
        m_fixture.clock.advance(200ms);
        m_fixture.balancer.processQueue("listings");
        while (!m_permits.empty()) {
            finish(0);
        }
        RC_ASSERT(m_fixture.balancer.inFlight() == 0);
        RC_ASSERT(m_waiting == 0);
    }

private:
    static Configuration twoRegions()
    {
        Configuration configuration = fleetOf(Targets);
        configuration.services[0].regionBytesPerSecond = RegionBytes;
        configuration.pools[0].targets[5].dataCentre = "s1";
        configuration.pools[0].targets[6].dataCentre = "s1";
        return configuration;
    }
    void acquire(int value)
    {
        AcquireRequest request{.service = "listings", .caller = value % 2 == 0 ? "even" : "odd"};
        request.idempotent = value % 3 == 0;
        request.deadline = value % 5 == 0 ? m_fixture.clock.now() + 30ms : Never;
        request.mayWait = value % 4 != 0;
        ++m_waiting;
        m_fixture.balancer.acquireLater(request, [this, idempotent = request.idempotent](const Result<Permit> &result) {
            --m_waiting;
            if (result) {
                granted(*result, idempotent);
            }
        });
    }
    void granted(const Permit &permit, bool idempotent)
    {
        const std::string &name = permit.address->name;
        RC_ASSERT(m_draining.count(name) == 0);
        RC_ASSERT(m_ids.insert(permit.id).second);
        RC_ASSERT(idempotent || m_ejected.count(name) == 0);
        if (name == "pages/t5" || name == "pages/t6") {
            m_regionBytes += 512;
            const double seconds = toSeconds(m_fixture.clock.now() - m_from);
            RC_ASSERT(m_regionBytes <= RegionBytes * (1 + seconds) + 1);
        }
        m_permits.push_back(permit);
    }
    void finish(int value)
    {
        if (m_permits.empty()) {
            return;
        }
        const auto at = m_permits.begin() + value % static_cast<int>(m_permits.size());
        const Permit permit = *at;
        m_permits.erase(at);
        const bool fails = permit.address->name == "pages/t0" || value % 7 == 0;
        m_fixture.answer(permit, value % 4, fails ? 503 : 200);
    }
    void drain(int value)
    {
        const std::string name = "pages/t" + std::to_string(value % Targets);
        if (m_draining.size() < 2) {
            m_draining.insert(name);
        }
        if (m_draining.count(name) > 0) {
            const LoadUpdate update{name, {}, 0ms, true};
            m_fixture.balancer.updateLoad({&update, 1});
        }
    }
    void reconfigure(int value)
    {
        ++m_configuration.revision;
        m_configuration.pools[0].targets[3].slots = 1 + value % 3;
        m_fixture.apply(m_configuration);
    }
    void check()
    {
        RC_ASSERT(m_fixture.balancer.inFlight() == static_cast<int>(m_permits.size()));
        std::map<std::string, int> counts;
        for (const Permit &it : m_permits) {
            ++counts[it.address->name];
        }
        m_ejected.clear();
        for (const TargetStatus &it : m_fixture.balancer.status("listings")) {
            RC_ASSERT(it.inFlight == counts[it.name]);
            RC_ASSERT(it.estimate >= it.inFlight);
            if (it.ejected) {
                m_ejected.insert(it.name);
            }
        }
        RC_ASSERT(m_ejected.size() * 3 <= Targets);
        RC_ASSERT(m_waiting >= 0 && m_waiting <= 4);
    }

    Configuration m_configuration;
    PausedBalancer m_fixture;
    TimePoint m_from;
    std::deque<Permit> m_permits;
    std::set<uint64_t> m_ids;
    std::set<std::string> m_draining;
    std::set<std::string> m_ejected;
    double m_regionBytes = 0;
    int m_waiting = 0;
};

} // namespace

Test(balancer_model, random_operations_keep_all_invariants)
{
    const bool held = rc::check("permits, draining, ejection, budgets and waits", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 60)));
        Model model;
        for (const auto &[kind, value] : steps) {
            model.step(kind, value);
        }
        model.end();
    });
    cr_assert(held);
}
