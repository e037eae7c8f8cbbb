// The limits of the configuration and the journal together keep the encoded document below the store's size limit.

#include "config/validate.h"
#include "control/ticket_decision.h"
#include "wire/document_codec.h"

#include <criterion/criterion.h>

using namespace damask;

namespace {

/// A name of the maximum length.
std::string longName(size_t n)
{
    std::string name = std::to_string(n);
    return "n" + std::string(39 - name.size(), 'x') + name;
}

Configuration largest(uint64_t revision)
{
    Configuration out;
    out.revision = revision;
    for (size_t n = 0; n < MaxServices; ++n) {
        out.services.push_back({.name = longName(n), .version = revision, .pool = longName(n)});
    }
    for (size_t n = 0; n < MaxPools; ++n) {
        out.pools.push_back({.name = longName(n), .version = revision});
    }
    for (size_t n = 0; n < MaxTargets; ++n) {
        out.pools.at(n % MaxPools)
            .targets.push_back(
                {longName(n), "2001:0db8:0000:0000:0000:0000:0000:0001", 65535, longName(n % 32), 10'000, true});
    }
    for (size_t n = 0; n < MaxRules; ++n) {
        out.rules.push_back({longName(n),
                             revision,
                             std::string(100, 'h'),
                             "/" + std::string(99, 'p'),
                             longName(n % 64),
                             Idempotency::Never,
                             {longName(1), longName(2), longName(3), longName(4)}});
    }
    for (size_t n = 0; n < MaxDataCentres; ++n) {
        out.dataCentres.push_back({longName(n), revision, longName(n)});
    }
    for (size_t n = 0; n < MaxLinks; ++n) {
        out.links.push_back({longName(n), revision});
    }
    for (size_t n = 0; n < MaxKeys; ++n) {
        out.keys.push_back({longName(n), revision, std::string(40, 'k'), false});
    }
    return out;
}

} // namespace

Test(document, the_largest_document_fits_into_the_store)
{
    const JournalLimits limits;
    ControlDocument document;
    document.accepted = largest(1'000'000);
    document.staged = StagedTicket{1, largest(1'000'001)};
    for (size_t n = 0; n < limits.records; ++n) {
        TicketRecord record;
        record.number = MaxTicketNumber - n;
        record.contentHash = UINT64_MAX;
        record.operatorName = std::string(40, 'o');
        record.comment = std::string(MaxCommentBytes, 'c');
        record.detail = std::string(limits.detailBytes + 4, 'd');
        record.submittedAt = record.endedAt = 1'800'000'000'000;
        document.journal.push_back(record);
    }
    document.journal.front().undo = std::string(limits.undoBytes, 'u');
    const size_t size = encodeDocument(document).size();
    std::printf("largest document: %zu bytes\n", size);
    cr_assert(size < MaxDocumentBytes, "%zu bytes", size);
}
