#include "wire/document_codec.h"

#include "control.pb.h"
#include "wire/convert.h"

#include <algorithm>
#include <climits>

namespace damask {

namespace {

constexpr uint32_t DocumentFormat = 1;
constexpr uint32_t MaxCode = 9999;

void writeRecord(const TicketRecord &from, pb::TicketRecord &to)
{
    to.set_number(from.number);
    to.set_content_hash(from.contentHash);
    to.set_operator_name(from.operatorName);
    to.set_comment(from.comment);
    to.set_state(static_cast<uint32_t>(from.state));
    to.set_code(static_cast<uint32_t>(codeNumber(from.code)));
    to.set_detail(from.detail);
    to.set_revision(from.revision);
    to.set_submitted_at(from.submittedAt);
    to.set_ended_at(from.endedAt);
    to.set_undo(from.undo);
}

Result<TicketRecord> readRecord(const pb::TicketRecord &from)
{
    for (const std::string_view it :
         {std::string_view(from.operator_name()), std::string_view(from.comment()), std::string_view(from.detail())}) {
        if (const auto checked = checkText(it, MaxTextBytes, "journal"); !checked) {
            return tl::make_unexpected(checked.error());
        }
    }
    if (from.state() > static_cast<uint32_t>(TicketState::Withdrawn) || from.code() > MaxCode) {
        return fail(Code::BadMessage, "journal: a state or code is out of range");
    }
    return TicketRecord{.number = from.number(),
                        .contentHash = from.content_hash(),
                        .operatorName = from.operator_name(),
                        .comment = from.comment(),
                        .state = static_cast<TicketState>(from.state()),
                        .code = static_cast<Code>(from.code()),
                        .detail = from.detail(),
                        .revision = from.revision(),
                        .submittedAt = from.submitted_at(),
                        .endedAt = from.ended_at(),
                        .undo = from.undo()};
}

Result<void> readStaged(const pb::ControlDocument &from, ControlDocument &out)
{
    if (!from.has_staged()) {
        return {};
    }
    auto next = fromMessage(from.staged().next());
    if (!next) {
        return tl::make_unexpected(next.error());
    }
    if (next->revision != out.accepted.revision + 1) {
        return fail(Code::BadMessage, "staged: the revision must be the accepted revision plus one");
    }
    out.staged = StagedTicket{from.staged().number(), std::move(*next)};
    return {};
}

} // namespace

std::string encodeDocument(const ControlDocument &document)
{
    pb::ControlDocument to;
    to.set_format(DocumentFormat);
    toMessage(document.accepted, *to.mutable_accepted());
    if (document.staged) {
        to.mutable_staged()->set_number(document.staged->number);
        toMessage(document.staged->next, *to.mutable_staged()->mutable_next());
    }
    for (const TicketRecord &it : document.journal) {
        writeRecord(it, *to.add_journal());
    }
    to.set_highest_cut(document.highestPruned);
    return to.SerializeAsString();
}

Result<ControlDocument> decodeDocument(std::string_view bytes)
{
    pb::ControlDocument from;
    if (bytes.size() > MaxDocumentBytes) {
        return fail(Code::BadMessage, "the document is too large");
    }
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || from.format() != DocumentFormat) {
        return fail(Code::BadMessage, "the document is malformed or has an unsupported format version");
    }
    ControlDocument out;
    auto accepted = fromMessage(from.accepted());
    if (!accepted) {
        return tl::make_unexpected(accepted.error());
    }
    out.accepted = std::move(*accepted);
    if (const auto staged = readStaged(from, out); !staged) {
        return tl::make_unexpected(staged.error());
    }
    out.highestPruned = from.highest_cut();
    if (from.journal_size() > MaxItems) {
        return fail(Code::BadMessage, "journal: has too many items");
    }
    for (const pb::TicketRecord &it : from.journal()) {
        auto record = readRecord(it);
        if (!record) {
            return tl::make_unexpected(record.error());
        }
        out.journal.push_back(std::move(*record));
    }
    return out;
}

} // namespace damask
