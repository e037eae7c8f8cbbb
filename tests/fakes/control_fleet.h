/// Single-threaded model of a small fleet: a store with faults, a stale instance list, instances that pause, are
/// partitioned, crash and restart, and concurrent operators. It asserts nothing; brokenInvariant() reports a violation.
#pragma once

#include "control/ticket_controller.h"
#include "fakes/fake_document_store.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damask::fakes {

/// The two schemes for activating a ticket, see docs/design/tickets.md.
enum class ActivationScheme {
    AcceptThenSpread,
    StageConfirmAccept,
};

/// Kinds of events in a run.
enum class StepKind {
    RefreshView,  // an operator takes the current state as the base of its next ticket
    Submit,       // an operator submits a new ticket based on that state
    Repeat,       // an operator submits its last ticket again
    Withdraw,     // an operator withdraws its last ticket
    Register,     // an instance renews its lease in the store and reports its active configuration
    Read,         // an instance reads the document, from a peer if the store is unreachable
    Apply,        // an instance activates the configuration that it read
    Accept,       // an instance's keeper accepts the staged ticket if allowed
    Pause,        // of an instance
    Resume,       // of an instance
    Cut,          // an instance is partitioned from the store and its peers
    Heal,         // the partition ends
    Kill,         // an instance crashes
    Start,        // a crashed instance restarts as a new incarnation
    StoreDown,    // for all instances
    StoreUp,      // for all instances
    StoreFault,   // the next write fails
    Deliver,      // a delayed write arrives
    Wait,         // time passes
    AllInstances, // all instances that can: register, read, apply, register, accept
};

constexpr auto LastStepKind = StepKind::AllInstances;

struct Step {
    StepKind kind = StepKind::Wait;
    uint64_t value = 0; // meaning depends on kind
};

class ControlFleet
{
public:
    explicit ControlFleet(ActivationScheme scheme);

    void run(const Step &step);
    void stepAllInstances();
    void settle(); // ends all faults and steps all instances until nothing changes

    /// Counts the instances that would send to a target that the accepted ticket forbids.
    size_t countForbiddenSenders(int64_t graceMs) const;

    std::string            brokenInvariant() const; // violated invariant of the document; empty: none
    const ControlDocument &document() const;
    std::vector<uint64_t>  submittedNumbers() const; // ticket numbers

private:
    struct Instance {
        std::string                  name;
        uint64_t                     incarnation = 1;
        bool                         alive = true;
        bool                         paused = false;
        bool                         cut = false;
        int64_t                      startedAt = 0;
        int64_t                      pausedAt = 0;
        int64_t                      endedAt = 0;    // crashed, or paused for long enough to be presumed dead
        bool                         mayAct = false; // known to its peers, and has read the document since
        uint64_t                     inForceRevision = 0;
        Configuration                inForce;
        std::optional<Configuration> read; // not yet active
        bool                         readWhenKnown = false;
    };
    struct Registration {
        uint64_t incarnation = 0;
        uint64_t confirmed = 0;
        int64_t  leaseUntil = 0;
    };
    struct Operator {
        Configuration view;
        std::string   lastText;
        uint64_t      lastNumber = 0;
    };
    struct AcceptedState {
        int64_t       at = 0;
        Configuration configuration;
    };

    bool                      reaches(const Instance &instance) const;
    bool                      acts(const Instance &instance) const;
    bool                      known(size_t n) const;
    bool                      listed(const Instance &instance) const;
    std::vector<InstanceView> views() const;
    void                      submit(Operator &who, uint64_t value);
    std::string               ticketText(const Operator &who, uint64_t number, uint64_t value) const;
    void                      read(size_t n);
    void                      apply(size_t n);
    void                      accept(const Instance &instance);
    void                      resume(Instance &instance);
    void                      note();

    ActivationScheme            m_scheme;
    int64_t                     m_now = 1'000'000; // ms
    Metrics                     m_metrics;
    FakeDocumentStore           m_store;
    TicketController            m_controller;
    std::array<Instance, 4>     m_instances;
    std::array<Registration, 4> m_registrations; // in the store
    std::array<Operator, 2>     m_operators;
    std::vector<AcceptedState>  m_history;
    std::vector<uint64_t>       m_numbers;
    std::string                 m_brokenInvariant;
    uint64_t                    m_nextNumber = 2;
};

} // namespace damask::fakes
