#include "damask-store/service.h"
#include "fakes/eventually.h"
#include "store/base64.h"
#include "store/client.h"
#include "store/document_watch.h"
#include "store/instance_list.h"
#include "wire/document_codec.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

/// The stand-in store running in this process, and a client connected to it.
struct StoreFixture {
    Clock clock;
    Metrics metrics;
    standin::Service service{clock, {.port = 0, .threads = 16, .progress = 200ms}};
    StoreClient client{clock, metrics, (start(), options(service.port()))};

    void start()
    {
        cr_assert(service.start().has_value());
    }
    static StoreOptions options(uint16_t port)
    {
        return {.port = port, .connectTimeout = 2s, .callTimeout = 2s, .watchIdleTimeout = 2s};
    }
};

} // namespace

Test(client, compare_and_swap_conflicts_on_a_stale_version)
{
    StoreFixture it;
    const auto first = it.client.swap({.key = "k", .value = "one", .version = 0});
    cr_assert(first.has_value());
    cr_assert(it.client.swap({.key = "k", .value = "two", .version = 0}).error().code == Code::StoreConflict);
    const auto second = it.client.swap({.key = "k", .value = "two", .version = *first});
    cr_assert(second.has_value() && *second > *first);
    const auto entry = it.client.get("k");
    cr_assert(entry->value == "two" && entry->version == *second);
    cr_assert(it.client.get("other").error().code == Code::NotFound);
}

Test(client, a_write_with_a_lost_answer_is_unknown_and_may_have_taken_effect)
{
    StoreFixture it;
    it.service.setFaults({.loseConfirmations = true});
    cr_assert(it.client.swap({.key = "k", .value = "one", .version = 0}).error().code == Code::StoreUnknown);
    it.service.setFaults({});
    cr_assert(it.client.get("k")->value == "one");
}

Test(client, a_failed_connect_is_unavailable_not_unknown)
{
    Clock clock;
    Metrics metrics;
    uint16_t freePort = 0;
    {
        const StoreFixture closed;
        freePort = closed.service.port();
    }
    StoreClient client(clock, metrics, StoreFixture::options(freePort));
    cr_assert(client.swap({.key = "k", .value = "one", .version = 0}).error().code == Code::StoreUnavailable);
    cr_assert(!client.reachable());
}

Test(client, reads_from_a_store_that_is_down_or_slow_are_unavailable)
{
    StoreFixture it;
    it.service.setFaults({.down = true});
    cr_assert(it.client.get("k").error().code == Code::StoreUnavailable);
    it.service.setFaults({.slow = 10min});
    StoreOptions shortTimeout = StoreFixture::options(it.service.port());
    shortTimeout.callTimeout = 100ms;
    StoreClient client(it.clock, it.metrics, shortTimeout);
    cr_assert(client.get("k").error().code == Code::StoreUnavailable);
    cr_assert(client.swap({.key = "k", .value = "one"}).error().code == Code::StoreUnknown);
    it.service.setFaults({});
}

Test(client, values_over_the_size_limit_are_not_sent)
{
    StoreFixture it;
    const std::string large(1000 * 1000 + 1, 'x');
    cr_assert(it.client.swap({.key = "k", .value = large}).error().code == Code::StoreTooLarge);
    cr_assert(it.service.calls("txn") == 0);
    cr_assert(it.client.swap({.key = "k", .value = large.substr(1)}).has_value(),
              "a value of exactly 1 MB is accepted");
}

Test(client, a_fenced_write_fails_after_the_lease_is_revoked)
{
    StoreFixture it;
    const auto lease = it.client.grantLease(10s);
    const auto duty = it.client.put("duty", "me", *lease);
    cr_assert(duty.has_value());
    const StoreFence fence{"duty", *duty};
    const auto first = it.client.swap({.key = "k", .value = "one", .version = 0, .fence = fence});
    cr_assert(first.has_value());
    cr_assert(it.client.revokeLease(*lease).has_value());
    cr_assert(it.client.swap({.key = "k", .value = "two", .version = *first, .fence = fence}).error().code
              == Code::StoreConflict);
    cr_assert(it.client.renewLease(*lease).error().code == Code::LeaseLapsed);
    cr_assert(it.client.get("k")->value == "one");
}

Test(client, instance_records_are_written_listed_and_removed)
{
    StoreFixture it;
    Instance one;
    one.name = "entry-1";
    one.dataCentre = "dc \"1\"";
    one.incarnation = 1796382613394;
    cr_assert(writeRecord(it.client, one).has_value());
    cr_assert(it.client.put(std::string(MembersPrefix) + "bad", "no json").has_value());
    const auto records = fetchRecords(it.client);
    cr_assert(records->size() == 1 && records->front() == one, "the malformed record is skipped");
    cr_assert(removeRecord(it.client, "entry-1").has_value());
    cr_assert(fetchRecords(it.client)->empty());
    it.service.instances().add(one);
    cr_assert(fetchInstances(it.client)->front() == one);
    cr_assert(parseInstances("{\"instances\":[{\"name\":7}]}").error().code == Code::StoreBadValue);
}

Test(document_watch, delivers_valid_documents_only_also_across_an_outage)
{
    StoreFixture it;
    RankedMutex mutex{LockRank::Leaf};
    uint64_t revision = 0; // of the last document delivered; guarded by mutex
    DocumentWatch watch(it.clock, it.metrics, it.client, {.encode = encodeDocument, .decode = decodeDocument},
                        {.changed =
                             [&](const VersionedDocument &document, std::string_view) {
                                 LockGuard lock(mutex);
                                 revision = document.document.accepted.revision;
                             }},
                        {.initialDelay = 10ms, .maxDelay = 50ms});
    const auto seen = [&](uint64_t wanted) {
        return eventually([&] {
            LockGuard lock(mutex);
            return revision == wanted;
        });
    };
    const auto write = [&](uint64_t wanted) {
        ControlDocument document;
        document.accepted.revision = wanted;
        cr_assert(it.client.put(DocumentKey, encodeDocument(document)).has_value());
    };
    write(1);
    watch.start();
    cr_assert(seen(1));
    write(2);
    cr_assert(seen(2));
    cr_assert(it.client.put(DocumentKey, "\xff not a document").has_value());
    it.service.setFaults({.down = true});
    it.service.setFaults({});
    write(3);
    cr_assert(seen(3));
    watch.stop();
    cr_assert(it.metrics.text().find("damask_store_bad_values_total") != std::string::npos);
}

Test(base64, all_lengths_round_trip_and_invalid_input_is_rejected)
{
    std::string bytes;
    for (int n = 0; n < 300; ++n) {
        cr_assert(*fromBase64(toBase64(bytes)) == bytes);
        bytes += static_cast<char>(n);
    }
    cr_assert(!fromBase64("abc"));
    cr_assert(!fromBase64("ab*="));
}
