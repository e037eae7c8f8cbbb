#include "front/request_reader.h"

#include "base/check.h"

#include <utility>

namespace damask {

namespace {

constexpr size_t MaxRequestLine = 8000;    // the library refuses more than 8192 with an answer of its own
constexpr size_t KeptCapacity = 16 * 1024; // bytes of buffer that an idle connection keeps

} // namespace

RequestReader::RequestReader(const RequestLimits &limits)
    : m_limits(limits)
{
}

void RequestReader::append(std::string_view bytes)
{
    m_bytes.append(bytes);
}

Result<bool> RequestReader::advance()
{
    if (!m_head) {
        const auto whole = advanceHead();
        if (!whole || !*whole) {
            return whole;
        }
    }
    return advanceBody();
}

Result<bool> RequestReader::advanceHead()
{
    while (m_scanned == 0 && m_bytes.starts_with("\r\n")) {
        dropFront(2);
    }
    const auto end = findHeadEnd(m_bytes, m_scanned);
    if (!end) {
        return tl::make_unexpected(end.error());
    }
    const size_t headBytes = end->value_or(m_bytes.size());
    if (headBytes > m_limits.headerBytes) {
        return fail(Code::HeaderTooLarge, "the header is larger than " + std::to_string(m_limits.headerBytes) + " B");
    }
    if (!end->has_value()) {
        return false;
    }
    auto head = parseHead(std::string_view(m_bytes).substr(0, headBytes));
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    if (head->line.size() > MaxRequestLine) {
        return fail(Code::HeaderTooLarge, "the request line is larger than " + std::to_string(MaxRequestLine) + " B");
    }
    if (head->bodyBytes > m_limits.bodyBytes) {
        return fail(Code::BodyTooLarge, "the body is larger than " + std::to_string(m_limits.bodyBytes) + " B");
    }
    dropFront(headBytes);
    m_continueDue = head->expectsContinue && head->bodyKind != BodyKind::None;
    if (head->bodyKind == BodyKind::Chunked) {
        m_chunks.emplace(m_limits.bodyBytes);
    }
    m_head = std::move(*head);
    return true;
}

Result<bool> RequestReader::advanceBody()
{
    if (m_head->bodyKind == BodyKind::None) {
        return true;
    }
    if (m_head->bodyKind == BodyKind::Sized) {
        if (m_bytes.size() < m_head->bodyBytes) {
            return false;
        }
        m_body = m_bytes.substr(0, m_head->bodyBytes);
        dropFront(m_head->bodyBytes);
        m_head->bodyKind = BodyKind::None;
        return true;
    }
    std::string_view rest = m_bytes;
    const auto ended = m_chunks->take(rest);
    dropFront(m_bytes.size() - rest.size());
    if (!ended || !*ended) {
        return ended;
    }
    m_body = std::move(m_chunks->body());
    m_chunks.reset();
    m_head->bodyKind = BodyKind::None;
    return true;
}

WholeRequest RequestReader::take()
{
    DAMASK_ASSERT(m_head && m_head->bodyKind == BodyKind::None, "take a request only after advance() gave true");
    WholeRequest whole{std::move(*m_head), std::exchange(m_body, {})};
    m_head.reset();
    m_continueDue = false;
    return whole;
}

bool RequestReader::idle() const
{
    return !m_head && m_bytes.empty();
}

size_t RequestReader::heldBytes() const
{
    return m_bytes.size() + m_body.size() + (m_chunks ? m_chunks->body().size() : 0);
}

bool RequestReader::takeContinueDue()
{
    return std::exchange(m_continueDue, false);
}

void RequestReader::dropFront(size_t n)
{
    m_bytes.erase(0, n);
    m_scanned = 0;
    if (m_bytes.empty() && m_bytes.capacity() > KeptCapacity) {
        std::string().swap(m_bytes);
    }
}

} // namespace damask
