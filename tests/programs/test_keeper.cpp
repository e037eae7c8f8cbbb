#include "damask-store/service.h"
#include "fakes/eventually.h"
#include "fakes/tickets.h"
#include "programs/damask-entry/keeper_link.h"
#include "programs/damask-keeper/keeper.h"
#include "wire/document_codec.h"

#include <atomic>
#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr int SlotPorts = 2; // key slots a and b

/// The entry's end of the link. Records the revision applied last, and whether an older one was ever applied.
struct Entry {
    Metrics metrics;
    std::atomic<uint64_t> revision{0};
    std::atomic<bool> reverted{false};
    KeeperLink link;

    Entry(Clock &clock, std::string_view keeper, const KeyPair &keys)
        : link(clock, metrics,
               {.keeper = std::string(keeper),
                .instance = "entry",
                .loadUpdateInterval = 20ms,
                .serverKey = keys.publicKey,
                .publicKey = keys.publicKey,
                .secretKey = keys.secretKey},
               {.apply =
                    [this](const std::shared_ptr<const Configuration> &next) {
                        reverted = reverted || next->revision < revision;
                        revision = next->revision;
                    },
                .updateLoad = [](std::span<const LoadUpdate>) {},
                .loadSnapshot =
                    [] {
                        return std::vector<LoadUpdate>();
                    }})
    {
        link.start();
    }
};

/// The platform's store and several keepers in one process, with CURVE keys.
struct Fleet {
    Clock clock;
    KeyPair keys = *makeKeyPair();
    standin::Service service{clock, {.port = 0, .threads = 64, .progress = 200ms}};
    std::vector<std::unique_ptr<Metrics>> metrics;
    std::vector<std::unique_ptr<Keeper>> keepers;
    std::vector<std::string> seeds;
    uint64_t incarnation = 100;

    Fleet()
    {
        cr_assert(service.start().has_value());
    }

    KeeperOptions options(std::string_view name)
    {
        KeeperOptions out;
        out.self.name = name;
        out.self.dataCentre = "dc-1";
        out.self.incarnation = ++incarnation;
        out.entryListen = "tcp://127.0.0.1:*";
        out.peerListen = "tcp://127.0.0.1:*";
        out.slotA = keys;
        out.seeds = seeds;
        out.store = {.port = service.port(), .connectTimeout = 2s, .callTimeout = 2s, .watchIdleTimeout = 2s};
        out.tick = 20ms;
        out.heartbeat = 100ms;
        out.minPollInterval = 200ms;
        return out;
    }

    Keeper &add(std::string_view name)
    {
        metrics.push_back(std::make_unique<Metrics>());
        keepers.push_back(std::make_unique<Keeper>(clock, *metrics.back(), options(name)));
        Keeper &keeper = *keepers.back();
        cr_assert(keeper.start().has_value());
        seeds.push_back(keeper.peerAddress());
        list(name, keeper.peerAddress());
        return keeper;
    }

    void list(std::string_view name, std::string_view address)
    {
        Instance instance;
        instance.name = name;
        instance.dataCentre = "dc-1";
        instance.keeper = address;
        service.instances().add(instance);
    }

    /// Submits the first ticket and waits until the entry has applied it.
    void configure(Keeper &keeper, const Entry &entry)
    {
        cr_assert(eventually([&] { return keeper.ready(); }));
        const auto record = keeper.ticketController().submit(fakes::firstTicket(), "t.ini");
        cr_assert(record.has_value(), "%s", record ? "" : record.error().detail.c_str());
        cr_assert(eventually([&] { return entry.revision == 2; }));
    }
};

} // namespace

Test(keeper, a_ticket_is_applied_and_survives_a_store_outage)
{
    Fleet fleet;
    Keeper &keeper = fleet.add("a");
    {
        const Entry entry(fleet.clock, keeper.entryAddress(), fleet.keys);
        fleet.configure(keeper, entry);
        fleet.service.setFaults({.down = true});
    }
    const Entry restarted(fleet.clock, keeper.entryAddress(), fleet.keys);
    cr_assert(eventually([&] { return restarted.revision == 2; }), "served from the keeper's memory");
}

Test(keeper, a_lost_confirmation_of_the_acceptance_is_resolved_by_reading_back)
{
    Fleet fleet;
    Keeper &keeper = fleet.add("a");
    const Entry entry(fleet.clock, keeper.entryAddress(), fleet.keys);
    cr_assert(eventually([&] { return keeper.ready(); }));
    fleet.service.setFaults({.loseConfirmations = true});
    (void)keeper.ticketController().submit(fakes::firstTicket(), "t.ini");
    cr_assert(eventually([&] { return entry.revision >= 1; }));
    fleet.service.setFaults({});
    cr_assert(eventually([&] { return entry.revision == 2; }));
    cr_assert(!entry.reverted);
    const auto again = keeper.ticketController().submit(fakes::firstTicket(), "t.ini");
    cr_assert(again.has_value() && again->state == TicketState::Accepted && again->revision == 1);
}

Test(keeper, an_instance_that_starts_during_a_store_outage_gets_the_document_from_peers)
{
    Fleet fleet;
    Keeper &first = fleet.add("a");
    const Entry entry(fleet.clock, first.entryAddress(), fleet.keys);
    fleet.configure(first, entry);
    fleet.service.setFaults({.down = true});
    Keeper &late = fleet.add("b");
    const Entry other(fleet.clock, late.entryAddress(), fleet.keys);
    cr_assert(eventually([&] { return other.revision == 2; }));
}

Test(keeper, a_restarted_keeper_does_not_revert_its_entry)
{
    Fleet fleet;
    Keeper &keeper = fleet.add("a");
    const auto port = keeper.entryAddress();
    const Entry entry(fleet.clock, port, fleet.keys);
    fleet.configure(keeper, entry);
    keeper.stop();
    KeeperOptions options = fleet.options("a");
    options.entryListen = port;
    fleet.keepers.clear();
    Metrics metrics;
    Keeper restarted(fleet.clock, metrics, options);
    cr_assert(eventually([&] { return restarted.start().has_value(); }), "the old keeper releases the port");
    cr_assert(eventually([&] { return restarted.statusJson().find("\"confirmed\": 2") != std::string::npos; }));
    cr_assert(!entry.reverted);
}

Test(keeper, an_older_document_in_a_restored_store_is_refused_and_overwritten)
{
    Fleet fleet;
    Keeper &keeper = fleet.add("a");
    const Entry entry(fleet.clock, keeper.entryAddress(), fleet.keys);
    fleet.configure(keeper, entry);
    const std::string old = encodeDocument({});
    const standin::Put put{"/damask/document", old, 0};
    cr_assert(fleet.service.keys().txn({}, std::span(&put, 1))->succeeded);
    const auto restored = [&] {
        const auto held = fleet.service.keys().range(put.key, {});
        return !held.empty() && decodeDocument(held.front().value)->accepted.revision == 1;
    };
    cr_assert(eventually(restored));
    cr_assert(fleet.metrics.front()->text().find("damask_keeper_document_refusals_total{code=\"OlderRevision\"}")
              != std::string::npos);
    fleet.service.keys().remove(put.key);
    cr_assert(eventually(restored), "a deleted key is restored, too");
    cr_assert(entry.revision == 2 && !entry.reverted);
}

Test(keeper, a_ticket_waits_for_a_listed_instance_that_does_not_confirm)
{
    Fleet fleet;
    Keeper &keeper = fleet.add("a");
    const Entry entry(fleet.clock, keeper.entryAddress(), fleet.keys);
    fleet.list("cut-off", "tcp://127.0.0.1:1");
    cr_assert(eventually([&] { return keeper.statusJson().find("cut-off") != std::string::npos; }));
    const auto record = keeper.ticketController().submit(fakes::firstTicket(), "t.ini");
    cr_assert(eventually([&] { return entry.revision == 1; }), "the configuration that both states allow");
    const auto view = keeper.ticketController().show(record->number);
    cr_assert(view->confirmation.waiting.size() >= 1);
    fleet.service.instances().remove("cut-off");
    cr_assert(eventually([&] { return entry.revision == 2; }));
}
