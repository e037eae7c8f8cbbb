#include "front/request_reader.h"

#include "base/check.h"

#include <algorithm>
#include <utility>

namespace damask {

namespace {

constexpr size_t MaxRequestLineBytes = 8000;  // the library refuses lines above 8192 bytes with its own response
constexpr size_t MaxIdleCapacity = 16 * 1024; // bytes; a larger empty buffer is freed

} // namespace

RequestReader::RequestReader(const RequestLimits &limits)
    : m_limits(limits)
{
}

void RequestReader::append(std::string_view bytes)
{
    m_bytes.erase(0, std::exchange(m_start, 0));
    m_bytes.append(bytes);
}

void RequestReader::setLimits(const RequestLimits &limits)
{
    m_limits = limits;
    if (m_chunks) {
        m_chunks->setMaxBodyBytes(limits.bodyBytes);
    }
}

uint64_t RequestReader::offset() const
{
    return m_head ? m_headOffset : m_consumed;
}

Result<bool> RequestReader::advance()
{
    if (!m_head) {
        const auto complete = advanceHead();
        if (!complete || !*complete) {
            return complete;
        }
    }
    return advanceBody();
}

Result<bool> RequestReader::advanceHead()
{
    discardEmptyLines();
    const auto end = findHeadEnd(unread(), m_scanned);
    if (!end) {
        return tl::make_unexpected(end.error());
    }
    const size_t headBytes = end->value_or(unread().size());
    if (headBytes > m_limits.headerBytes) {
        return fail(Code::HeaderTooLarge, "the header is larger than " + std::to_string(m_limits.headerBytes) + " B");
    }
    if (!end->has_value()) {
        return false;
    }
    auto head = parseHead(unread().substr(0, headBytes));
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    if (head->line.size() > MaxRequestLineBytes) {
        return fail(Code::HeaderTooLarge,
                    "the request line is larger than " + std::to_string(MaxRequestLineBytes) + " B");
    }
    if (head->bodyBytes > m_limits.bodyBytes) {
        return fail(Code::BodyTooLarge, "the body is larger than " + std::to_string(m_limits.bodyBytes) + " B");
    }
    m_headOffset = m_consumed;
    discard(headBytes);
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
        if (unread().size() < m_head->bodyBytes) {
            return false;
        }
        m_body = unread().substr(0, m_head->bodyBytes);
        discard(m_head->bodyBytes);
        m_head->bodyKind = BodyKind::None;
        return true;
    }
    std::string_view left = unread();
    const auto ended = m_chunks->take(left);
    discard(unread().size() - left.size());
    if (!ended || !*ended) {
        return ended;
    }
    m_body = std::move(m_chunks->body());
    m_chunks.reset();
    m_head->bodyKind = BodyKind::None;
    return true;
}

CompleteRequest RequestReader::take()
{
    DAMASK_ASSERT(m_head && m_head->bodyKind == BodyKind::None, "call take() only after advance() returned true");
    CompleteRequest complete{std::move(*m_head), std::exchange(m_body, {})};
    m_head.reset();
    m_continueDue = false;
    return complete;
}

const RequestHead &RequestReader::head() const
{
    DAMASK_ASSERT(m_head, "call head() only after bodyExceeds() returned true");
    return *m_head;
}

bool RequestReader::bodyExceeds(size_t n) const
{
    if (!m_head || m_bodyStarted) {
        return false;
    }
    return m_chunks ? m_chunks->body().size() > n : m_head->bodyKind == BodyKind::Sized && m_head->bodyBytes > n;
}

std::optional<uint64_t> RequestReader::bodyLength() const
{
    return m_chunks ? std::nullopt : std::optional<uint64_t>(head().bodyBytes);
}

void RequestReader::startBody()
{
    m_bodyStarted = true;
    m_bodyLeft = m_chunks ? 0 : head().bodyBytes;
}

Result<size_t> RequestReader::readBody(std::span<char> to)
{
    size_t n = 0;
    if (m_chunks) {
        std::string_view left = unread();
        const auto ended = m_chunks->take(left);
        discard(unread().size() - left.size());
        if (!ended) {
            return tl::make_unexpected(ended.error());
        }
        std::string &body = m_chunks->body();
        n = body.copy(to.data(), to.size());
        body.erase(0, n);
    } else {
        n = unread().copy(to.data(), std::min(to.size(), m_bodyLeft));
        discard(n);
        m_bodyLeft -= n;
    }
    if (m_chunks ? m_chunks->ended() && m_chunks->body().empty() : m_bodyLeft == 0) {
        m_bodyStarted = false;
        m_chunks.reset();
        m_head.reset();
    }
    return n;
}

bool RequestReader::bodyEnded() const
{
    return !m_bodyStarted;
}

std::string_view RequestReader::unread() const
{
    return std::string_view(m_bytes).substr(m_start);
}

/// A server ignores empty lines before a request line (RFC 9112, section 2.2).
void RequestReader::discardEmptyLines()
{
    size_t n = 0;
    while (unread().substr(n).starts_with("\r\n")) {
        n += 2;
    }
    if (n > 0) {
        discard(n);
    }
}

bool RequestReader::idle() const
{
    return !m_head && unread().empty();
}

size_t RequestReader::bufferedBytes() const
{
    return unread().size() + m_body.size() + (m_chunks ? m_chunks->body().size() : 0);
}

bool RequestReader::takeContinueDue()
{
    return std::exchange(m_continueDue, false);
}

void RequestReader::discard(size_t n)
{
    m_start += n;
    m_consumed += n;
    m_scanned = 0;
    if (m_start < m_bytes.size()) {
        return; // append() moves the remaining bytes to the front, once for many pipelined requests
    }
    m_start = 0;
    m_bytes.clear();
    if (m_bytes.capacity() > MaxIdleCapacity) {
        std::string().swap(m_bytes);
    }
}

} // namespace damask
