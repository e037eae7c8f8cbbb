/// A small fleet in one thread: a store with faults, an instance list that lags, instances that pause, are cut off,
/// die and start again, and operators who race. It asserts nothing; it tells what went wrong.
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

/// The two ways of bringing a ticket into force, see docs/design/tickets.md.
enum class Way {
    AcceptThenSpread,
    StageConfirmAccept,
};

/// One thing that happens.
enum class StepKind {
    Look,       // an operator takes the current state as the view to build on
    Submit,     // an operator submits a new ticket built on that view
    Repeat,     // an operator submits the last one again
    Withdraw,   // an operator takes the last one back
    Register,   // an instance renews its lease in the store and tells what it has in force
    Read,       // an instance reads the document, or asks a peer when the store can't be reached
    Apply,      // an instance puts in force what it read
    Accept,     // an instance's keeper accepts the staged ticket if it may
    Pause,      // of an instance
    Resume,     // of an instance
    Cut,        // an instance can't reach store and peers
    Heal,       // it can again
    Kill,       // an instance dies at once
    Start,      // a dead instance starts again, as a new incarnation
    StoreDown,  // for everyone
    StoreUp,    // again
    StoreFault, // of the next write
    Deliver,    // a delayed write arrives
    Wait,       // time passes
    Everyone,   // all that can register, read, apply, register, accept
};

constexpr auto LastStepKind = StepKind::Everyone;

struct Step {
    StepKind kind = StepKind::Wait;
    uint64_t value = 0; // whatever the kind needs
};

class ControlFleet
{
public:
    explicit ControlFleet(Way way);

    void run(const Step &step);
    void everyone();
    void settle(); // all faults end and everyone acts until nothing changes

    size_t actsOnForbidden(int64_t graceMs) const;  // instances that would send where the accepted ticket forbids it
    std::string            brokenInvariant() const; // of the document; empty: none
    const ControlDocument &document() const;
    std::vector<uint64_t>  submittedNumbers() const; // by the operators

private:
    struct Instance {
        std::string                  name;
        uint64_t                     incarnation = 1;
        bool                         alive = true;
        bool                         paused = false;
        bool                         cut = false;
        int64_t                      startedAt = 0;
        int64_t                      pausedAt = 0;
        int64_t                      endedAt = 0;    // died, or was paused for long enough to look dead
        bool                         mayAct = false; // known to others, and has read since
        uint64_t                     inForceRevision = 0;
        Configuration                inForce;
        std::optional<Configuration> read; // not yet in force
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

    Way                         m_way;
    int64_t                     m_now = 1'000'000; // ms
    Metrics                     m_metrics;
    FakeDocumentStore           m_store;
    TicketController            m_desk;
    std::array<Instance, 4>     m_instances;
    std::array<Registration, 4> m_registrations; // in the store
    std::array<Operator, 2>     m_operators;
    std::vector<AcceptedState>  m_history;
    std::vector<uint64_t>       m_numbers;
    std::string                 m_broken;
    uint64_t                    m_nextNumber = 2;
};

} // namespace damask::fakes
