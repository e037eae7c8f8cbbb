#include "fakes/control_fleet.h"

#include "config/kind.h"
#include "config/rule_match.h"
#include "control/effective_configuration.h"
#include "fakes/tickets.h"

namespace damask::fakes {

namespace {

constexpr int64_t LeaseMs = 5'000;
constexpr int64_t ListLagMs = 10'000;       // AcceptOptions::listLag
constexpr int64_t PauseLooksDeadMs = 4'000; // after this long the list may drop a paused instance
constexpr auto Paths = std::to_array<std::string_view>({"/", "/a", "/b"});

/// What a configuration allows an instance to do: "path>port" for each target that it would send to.
std::set<std::string> allowedRoutes(const Configuration &configuration)
{
    std::set<std::string> out;
    for (const std::string_view path : Paths) {
        const Rule *rule = findMatchingRule(configuration.rules, "h", path);
        const Service *service = rule == nullptr ? nullptr : findNamed(configuration.services, rule->service);
        const Pool *pool = service == nullptr ? nullptr : findNamed(configuration.pools, service->pool);
        for (const Target &it : pool == nullptr ? std::vector<Target>() : pool->targets) {
            const auto &allowed = rule->dataCentres;
            const bool inAllowedDataCentre =
                allowed.empty() || std::find(allowed.begin(), allowed.end(), it.dataCentre) != allowed.end();
            if (inAllowedDataCentre && !it.draining) {
                out.insert(std::string(path) + ">" + std::to_string(it.port));
            }
        }
    }
    return out;
}

std::string targetLines(uint64_t value)
{
    std::string out;
    for (int n = 0; n < 3; ++n) {
        const uint64_t choice = (value >> (2 * n)) % 4;
        if (choice != 0) {
            out += "target-t" + std::to_string(n) + " = 127.0.0.1:" + std::to_string(8001 + n)
                   + " data-centre=" + (n == 0 ? "zh1" : "be1") + " slots=" + std::to_string(choice)
                   + " draining=" + (choice == 1 ? "yes" : "no") + "\n";
        }
    }
    return out;
}

} // namespace

ControlFleet::ControlFleet(ActivationScheme scheme)
    : m_scheme(scheme)
    , m_controller(m_metrics, m_store.hooks(),
                   {[this] { return m_now; },
                    [this] {
                        return views();
                    }})
{
    m_controller.submit(firstTicket(), "first");
    m_controller.accept(1);
    m_history.push_back({m_now, document().accepted});
    for (size_t n = 0; n < m_instances.size(); ++n) {
        m_instances.at(n).name = "e" + std::to_string(n);
        m_instances.at(n).startedAt = m_now - ListLagMs;
        run({StepKind::Register, n});
        run({StepKind::Read, n});
        run({StepKind::Apply, n});
    }
    for (Operator &it : m_operators) {
        it.view = document().accepted;
    }
}

const ControlDocument &ControlFleet::document() const
{
    return m_store.document.document;
}

std::vector<uint64_t> ControlFleet::submittedNumbers() const
{
    return m_numbers;
}

std::string ControlFleet::brokenInvariant() const
{
    return m_brokenInvariant;
}

bool ControlFleet::acts(const Instance &instance) const
{
    return instance.alive && !instance.paused;
}

bool ControlFleet::reaches(const Instance &instance) const
{
    return acts(instance) && !instance.cut && !m_store.down;
}

bool ControlFleet::listed(const Instance &instance) const
{
    const bool looksDead = !instance.alive || (instance.paused && m_now - instance.pausedAt >= PauseLooksDeadMs);
    return !looksDead && m_now - instance.startedAt >= ListLagMs;
}

/// Whether others wait for its confirmation: its lease is registered, or the instance list has had time to show it.
bool ControlFleet::known(size_t n) const
{
    const Instance &instance = m_instances.at(n);
    const Registration &entry = m_registrations.at(n);
    return (entry.incarnation == instance.incarnation && entry.leaseUntil > m_now) || listed(instance);
}

std::vector<InstanceView> ControlFleet::views() const
{
    std::vector<InstanceView> out;
    for (size_t n = 0; n < m_instances.size(); ++n) {
        const Instance &instance = m_instances.at(n);
        const Registration &entry = m_registrations.at(n);
        InstanceView view;
        view.name = instance.name;
        view.incarnation = instance.incarnation;
        view.listed = listed(instance);
        view.leaseHeld = entry.leaseUntil > m_now;
        view.lapsedFor = std::chrono::milliseconds(std::max<int64_t>(0, m_now - entry.leaseUntil));
        view.confirmedRevision = entry.incarnation == instance.incarnation ? entry.confirmed : 0;
        out.push_back(view);
    }
    return out;
}

std::string ControlFleet::ticketText(const Operator &who, uint64_t number, uint64_t value) const
{
    const std::string head =
        "[ticket]\nnumber = " + std::to_string(number) + "\noperator = o\nallow-capacity-loss = yes\n";
    const auto basedOn = [](const auto *object) {
        return std::to_string(object == nullptr ? 0 : object->version);
    };
    if (value % 3 == 0) {
        const auto words = std::to_array<std::string_view>({"any", "zh1", "be1"});
        const std::string name = value % 2 == 0 ? "a" : "all";
        return head + "[rule " + name + "]\nbased-on = " + basedOn(findNamed(who.view.rules, name)) + "\nprefix = /"
               + (value % 2 == 0 ? "a" : "") + "\nservice = " + (value % 7 == 0 ? "none" : "listings")
               + "\ndata-centres = " + std::string(words.at(value / 8 % 3)) + "\n";
    }
    return head + "[pool listings]\nbased-on = " + basedOn(findNamed(who.view.pools, "listings")) + "\n"
           + targetLines(value / 4);
}

void ControlFleet::submit(Operator &who, uint64_t value)
{
    who.lastNumber = m_nextNumber++;
    who.lastText = ticketText(who, who.lastNumber, value);
    m_numbers.push_back(who.lastNumber);
    m_controller.submit(who.lastText, "t.ini");
}

/// Reads from the store, or else from a peer that may act. What it read lets the instance act only if others waited for
/// its confirmation by then.
void ControlFleet::read(size_t n)
{
    Instance &instance = m_instances.at(n);
    instance.readWhenKnown = known(n);
    if (reaches(instance)) {
        instance.read = effectiveConfiguration(document());
        return;
    }
    for (const Instance &it : m_instances) {
        if (acts(instance) && !instance.cut && acts(it) && !it.cut && it.mayAct && it.name != instance.name) {
            instance.read = it.inForce;
            return;
        }
    }
}

void ControlFleet::apply(size_t n)
{
    Instance &instance = m_instances.at(n);
    if (!acts(instance) || !instance.read) {
        return;
    }
    if (instance.read->revision >= instance.inForceRevision) {
        instance.inForce = *instance.read;
        instance.inForceRevision = instance.read->revision;
        instance.mayAct = instance.mayAct || instance.readWhenKnown;
    }
    instance.read.reset();
}

void ControlFleet::accept(const Instance &instance)
{
    if (!reaches(instance) || !document().staged) {
        return;
    }
    const AcceptDecision decision = decideAcceptance(document(), views());
    if (decision.accept || m_scheme == ActivationScheme::AcceptThenSpread) {
        m_controller.accept(document().staged->number);
    }
}

/// After a pause in which others may have presumed it dead, an instance has to become known and to read again.
void ControlFleet::resume(Instance &instance)
{
    if (instance.paused && m_now - instance.pausedAt >= PauseLooksDeadMs) {
        instance.mayAct = false;
        instance.startedAt = m_now;
        instance.read.reset();
    }
    instance.paused = false;
}

void ControlFleet::run(const Step &step)
{
    const size_t n = step.value % m_instances.size();
    Instance &instance = m_instances.at(n);
    Operator &who = m_operators.at(step.value % m_operators.size());
    switch (step.kind) {
    case StepKind::RefreshView:
        who.view = document().accepted;
        break;
    case StepKind::Submit:
        submit(who, step.value / 2);
        break;
    case StepKind::Repeat:
        m_controller.submit(who.lastText, "t.ini");
        break;
    case StepKind::Withdraw:
        m_controller.withdraw(who.lastNumber);
        break;
    case StepKind::Register:
        if (reaches(instance)) {
            m_registrations.at(n) = {instance.incarnation, instance.mayAct ? instance.inForceRevision : 0,
                                     m_now + LeaseMs};
        }
        break;
    case StepKind::Read:
        read(n);
        break;
    case StepKind::Apply:
        apply(n);
        break;
    case StepKind::Accept:
        accept(instance);
        break;
    case StepKind::Pause:
        instance.pausedAt = instance.paused ? instance.pausedAt : m_now;
        instance.paused = true;
        break;
    case StepKind::Resume:
        resume(instance);
        break;
    case StepKind::Cut:
        instance.cut = true;
        break;
    case StepKind::Heal:
        instance.cut = false;
        break;
    case StepKind::Kill:
        instance.alive = false;
        instance.mayAct = false;
        break;
    case StepKind::Start:
        if (!instance.alive) {
            instance = Instance{.name = instance.name, .incarnation = instance.incarnation + 1, .startedAt = m_now};
        }
        break;
    case StepKind::StoreDown:
        m_store.down = true;
        break;
    case StepKind::StoreUp:
        m_store.down = false;
        break;
    case StepKind::StoreFault:
        m_store.faults.push_back(static_cast<SwapFault>(step.value % 6));
        break;
    case StepKind::Deliver:
        m_store.deliver();
        break;
    case StepKind::Wait:
        m_now += static_cast<int64_t>(step.value % 6'000);
        break;
    case StepKind::AllInstances:
        stepAllInstances();
        break;
    }
    note();
}

/// Checks the invariants of the document against its earlier states.
void ControlFleet::note()
{
    const ControlDocument &now = document();
    const Configuration &last = m_history.back().configuration;
    if (m_store.encodingMismatches > 0) {
        m_brokenInvariant = "a document can't be read back as it was written";
    }
    if (now.accepted.revision < last.revision) {
        m_brokenInvariant = "the accepted revision decreased";
    }
    if (now.accepted.revision > last.revision) {
        m_history.push_back({m_now, now.accepted});
    }
    size_t acceptedCount = 0;
    size_t acceptedPoolCount = 0;
    uint64_t ended = 0;
    std::set<uint64_t> numbers;
    for (const TicketRecord &it : now.journal) {
        acceptedCount += it.state == TicketState::Accepted ? 1 : 0;
        acceptedPoolCount += it.state == TicketState::Accepted && it.undo.find("[pool") != std::string::npos ? 1 : 0;
        ended += it.state == TicketState::Accepted || it.state == TicketState::Withdrawn ? 1 : 0;
        if (!numbers.insert(it.number).second) {
            m_brokenInvariant = "a ticket number appears twice";
        }
    }
    if (ended != now.accepted.revision) {
        m_brokenInvariant = "a ticket took effect twice, or not at all";
    }
    // Each accepted ticket raises the version of what it changes by one. Two accepted tickets based on the same version
    // would raise it only once.
    const Pool *pool = findNamed(now.accepted.pools, "listings");
    if (pool == nullptr || pool->version != acceptedPoolCount || acceptedCount < acceptedPoolCount) {
        m_brokenInvariant = "two tickets based on the same version were both accepted";
    }
}

size_t ControlFleet::countForbiddenSenders(int64_t graceMs) const
{
    std::set<std::string> allowed;
    for (auto it = m_history.rbegin(); it != m_history.rend(); ++it) {
        const std::set<std::string> more = allowedRoutes(it->configuration);
        allowed.insert(more.begin(), more.end());
        if (it->at + graceMs <= m_now) {
            break; // earlier states have been forbidden for longer than the grace period
        }
    }
    size_t count = 0;
    for (const Instance &it : m_instances) {
        const std::set<std::string> used = allowedRoutes(it.inForce);
        count +=
            acts(it) && it.mayAct && !std::includes(allowed.begin(), allowed.end(), used.begin(), used.end()) ? 1 : 0;
    }
    return count;
}

void ControlFleet::settle()
{
    run({StepKind::StoreUp});
    run({StepKind::Deliver});
    m_store.faults.clear();
    for (size_t n = 0; n < m_instances.size(); ++n) {
        run({StepKind::Start, n});
        run({StepKind::Resume, n});
        run({StepKind::Heal, n});
    }
    stepAllInstances();
    stepAllInstances();
}

void ControlFleet::stepAllInstances()
{
    for (const StepKind kind :
         {StepKind::Register, StepKind::Read, StepKind::Apply, StepKind::Register, StepKind::Accept}) {
        for (size_t n = 0; n < m_instances.size(); ++n) {
            run({kind, n});
        }
    }
}

} // namespace damask::fakes
