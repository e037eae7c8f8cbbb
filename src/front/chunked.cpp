#include "front/chunked.h"

#include <algorithm>
#include <charconv>

namespace damask {

namespace {

constexpr size_t MaxLineBytes = 4096;    // of a chunk size line or a trailer line
constexpr size_t MaxTrailerBytes = 8192; // of all trailer lines together
constexpr size_t MaxSizeDigits = 8;      // hexadecimal digits of a chunk size

} // namespace

ChunkedReader::ChunkedReader(size_t maxBodyBytes)
    : m_maxBodyBytes(maxBodyBytes)
{
}

std::string &ChunkedReader::body()
{
    return m_body;
}

const std::string &ChunkedReader::body() const
{
    return m_body;
}

bool ChunkedReader::ended() const
{
    return m_state == State::Ended;
}

void ChunkedReader::setMaxBodyBytes(size_t n)
{
    m_maxBodyBytes = n;
}

Result<bool> ChunkedReader::take(std::string_view &bytes)
{
    while (!bytes.empty() && !ended()) {
        if (m_state == State::Data) {
            readData(bytes);
            continue;
        }
        const size_t before = bytes.size();
        const auto ended = parseLine(bytes);
        if (!ended || *ended) {
            return ended;
        }
        if (bytes.size() == before) {
            break;
        }
    }
    return ended();
}

void ChunkedReader::readData(std::string_view &bytes)
{
    const size_t n = std::min(m_chunkBytesLeft, bytes.size());
    m_body.append(bytes.substr(0, n));
    bytes.remove_prefix(n);
    m_chunkBytesLeft -= n;
    if (m_chunkBytesLeft == 0) {
        m_state = State::DataEnd;
    }
}

Result<bool> ChunkedReader::parseLine(std::string_view &bytes)
{
    const size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
        if (bytes.size() > MaxLineBytes) {
            return fail(Code::BadRequest, "a line of the chunked body is too long");
        }
        return false;
    }
    if (end == 0 || bytes[end - 1] != '\r' || end > MaxLineBytes) {
        return fail(Code::BadRequest, "a line of the chunked body is malformed");
    }
    const std::string_view line = bytes.substr(0, end - 1);
    if (m_state == State::Size) {
        const auto size = parseSize(line);
        if (!size) {
            return tl::make_unexpected(size.error()); // the line is kept, as the limit may be raised
        }
        bytes.remove_prefix(end + 1);
        return false;
    }
    if (m_state == State::DataEnd) {
        bytes.remove_prefix(end + 1);
        m_state = State::Size;
        return line.empty() ? Result<bool>(false)
                            : fail(Code::BadRequest, "a chunk contains more bytes than its size line states");
    }
    if (line.size() > MaxTrailerBytes - m_trailerBytes) {
        return fail(Code::HeaderTooLarge, "the trailer is too large");
    }
    m_trailerBytes += line.size();
    bytes.remove_prefix(end + 1);
    m_state = line.empty() ? State::Ended : State::Trailer;
    return line.empty();
}

Result<void> ChunkedReader::parseSize(std::string_view line)
{
    const std::string_view digits = line.substr(0, line.find_first_of("; \t"));
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), m_chunkBytesLeft, 16);
    if (digits.empty() || digits.size() > MaxSizeDigits || ec != std::errc() || end != digits.data() + digits.size()) {
        return fail(Code::BadRequest, "a chunk size is not a valid hexadecimal number");
    }
    if (m_bodyBytes > m_maxBodyBytes || m_chunkBytesLeft > m_maxBodyBytes - m_bodyBytes) {
        return fail(Code::BodyTooLarge, "the body is larger than the limit");
    }
    m_bodyBytes += m_chunkBytesLeft;
    m_state = m_chunkBytesLeft == 0 ? State::Trailer : State::Data;
    return {};
}

} // namespace damask
