#include "http/exchange.h"

#include "base/scope.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <httplib.h>
#include <poll.h>

namespace damask {

namespace {

constexpr size_t MaxHeadBytes = 64UL * 1024;    // of a response's head
constexpr size_t MaxFramingBytes = 64UL * 1024; // between two bytes of a body: chunk sizes, extensions, trailers
constexpr size_t MaxStatusLine = 1024;          // bytes; the library matches the line with a recursive std::regex
constexpr size_t BufferBytes = 16UL * 1024;     // per read from a socket
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view ChunksEnd = "0\r\n\r\n";
constexpr std::string_view Continue = "HTTP/1.1 100";

/// Passes the received bytes to the library and keeps the raw head. The request has already been sent, so write()
/// discards what the library writes.
class ResponseStream : public httplib::Stream
{
public:
    ResponseStream(Connection &connection, const Clock &clock, const ExchangeRequest &request)
        : m_connection(connection)
        , m_clock(clock)
        , m_request(request)
    {
    }

    bool is_readable() const override
    {
        return true;
    }
    bool is_writable() const override
    {
        return true;
    }
    ssize_t read(char *out, size_t size) override
    {
        if (m_at == m_filled && !fill()) {
            return m_code == Code::Ok || closedCleanly() ? 0 : -1;
        }
        const size_t n = std::min(size, m_filled - m_at);
        std::memcpy(out, m_buffer.data() + m_at, n);
        m_at += n;
        m_framingBytes += n;
        recordBytes({out, n});
        return m_code == Code::Ok ? static_cast<ssize_t>(n) : -1;
    }
    ssize_t write(const char *, size_t size) override
    {
        return static_cast<ssize_t>(size);
    }
    void get_remote_ip_and_port(std::string &, int &) const override
    {
    }
    void get_local_ip_and_port(std::string &, int &) const override
    {
    }
    socket_t socket() const override
    {
        return INVALID_SOCKET;
    }

    /// Bytes of the body have been read, so the limit of bytes around them starts again.
    void bodyAdvanced()
    {
        m_framingBytes = 0;
    }
    /// The next bytes begin another response.
    void startNext()
    {
        m_head.clear();
        m_last = {};
        m_framingBytes = 0;
        m_headComplete = false;
    }
    Code code() const
    {
        return m_code;
    }
    std::string_view head() const
    {
        return m_head;
    }
    /// The peer closed the connection cleanly after the complete head.
    bool closedCleanly() const
    {
        return m_closed && m_headComplete;
    }
    bool responseStarted() const
    {
        return m_filled > 0;
    }
    bool drained() const
    {
        return m_at == m_filled;
    }
    bool lastChunkRead() const
    {
        return std::string_view(m_last.data(), m_last.size()) == ChunksEnd;
    }

private:
    bool fill()
    {
        const Duration left = timeLeft();
        if (left <= Duration::zero()) {
            m_code = Code::AnswerTimeout; // bytes without end must not hold the caller beyond the deadline
            return false;
        }
        const IoResult got = m_connection.receive(m_buffer, left);
        if (got.end == IoEnd::Done) {
            m_at = 0;
            m_filled = got.bytes;
            m_received += got.bytes;
            return true;
        }
        m_closed = got.end == IoEnd::Closed;
        m_code = got.end == IoEnd::TimedOut ? Code::AnswerTimeout : Code::ConnectionLost;
        return false;
    }
    Duration timeLeft() const
    {
        const bool extends = m_request.bytesPerSecond > 0 && m_request.deadline != Never;
        const Duration earned =
            extends ? fromMilliseconds(1000 * static_cast<double>(m_received) / m_request.bytesPerSecond)
                    : Duration::zero();
        const Duration left = m_request.deadline - m_clock.now() + earned;
        return std::min(left, m_received > 0 ? m_request.maxSilence : m_request.maxStart);
    }
    void recordBytes(std::string_view bytes)
    {
        for (const char c : bytes.substr(bytes.size() - std::min(bytes.size(), m_last.size()))) {
            std::rotate(m_last.begin(), m_last.begin() + 1, m_last.end());
            m_last.back() = c;
        }
        if (m_framingBytes > (m_headComplete ? MaxFramingBytes + BufferBytes : MaxHeadBytes)) {
            m_code = Code::AnswerTooLarge; // interim responses count as well
        }
        if (m_headComplete) {
            return;
        }
        m_head += bytes;
        if (m_head.ends_with(HeadEnd)) {
            m_headComplete = !m_head.starts_with(Continue);
            if (!m_headComplete) {
                m_head.clear();
            }
        }
        if (m_head.size() > MaxStatusLine && m_head.find('\n') == std::string::npos) {
            m_code = Code::AnswerTooLarge;
        }
    }

    Connection &m_connection;
    const Clock &m_clock;
    const ExchangeRequest &m_request;
    std::array<char, BufferBytes> m_buffer;
    size_t m_received = 0; // bytes of all responses
    size_t m_at = 0;
    size_t m_filled = 0;
    std::array<char, 5> m_last{}; // last bytes read by the library
    std::string m_head;
    size_t m_framingBytes = 0; // read since the start or the last byte of the body
    bool m_headComplete = false;
    bool m_closed = false;
    Code m_code = Code::Ok;
};

/// Gives access to the library's response parser, with a stream of this file.
class ResponseReader : public httplib::ClientImpl
{
public:
    ResponseReader()
        : httplib::ClientImpl("target", 80)
    {
        set_decompress(false);
        set_url_encode(false);
    }
    bool read(httplib::Stream &stream, httplib::Request &request, httplib::Response &response)
    {
        httplib::Error error = httplib::Error::Success;
        return process_request(stream, request, response, false, error);
    }
};

/// Parses and checks the head of the response. Ok if its body may be read.
Code checkHead(const ResponseStream &stream, const ExchangeRequest &request, ResponseHead &out)
{
    auto head = parseResponseHead(stream.head(), request.method);
    if (!head) {
        return head.error().code;
    }
    out = std::move(*head);
    if (out.framing == BodyFraming::ByClose && !request.closeEndsBody) {
        return Code::BadAnswer;
    }
    const bool large = !request.consume && out.framing == BodyFraming::Length && out.length > request.maxResponseBytes;
    return large ? Code::AnswerTooLarge : Code::Ok;
}

/// Appends to the body. Its memory doubles when it is used up, and grows by an eighth where that is too much for the
/// limits. False: the limits allow neither.
bool appendToBody(std::string &body, std::string_view bytes, const ExchangeRequest &request)
{
    const size_t needed = body.size() + bytes.size();
    if (needed > request.maxResponseBytes) {
        return false;
    }
    const size_t reserved = body.empty() ? 0 : body.capacity();
    if (needed > reserved) {
        const auto grow = [&](size_t wanted) {
            const size_t size = std::max(needed, std::min(wanted, request.maxResponseBytes));
            if (request.reserve && !request.reserve(size - reserved)) {
                return false;
            }
            std::string grown;
            grown.reserve(size); // exactly; growing the string itself would at least double it
            grown.append(body);
            body.swap(grown);
            return true;
        };
        if (!grow(2 * reserved) && !grow(reserved + reserved / 8)) {
            return false;
        }
    }
    body.append(bytes);
    return true;
}

/// Reads the response into out. Ok if it is complete.
Code readResponse(ResponseStream &stream, const ExchangeRequest &request, ExchangeResult &out)
{
    Code code = Code::Ok;
    bool headChecked = false;
    uint64_t bodyBytes = 0;
    httplib::Request libraryRequest;
    libraryRequest.method = request.method;
    libraryRequest.path = "/";
    libraryRequest.response_handler = [&](const httplib::Response &) {
        headChecked = true;
        code = checkHead(stream, request, out.head);
        return code == Code::Ok && out.head.framing != BodyFraming::None;
    };
    libraryRequest.content_receiver = [&](const char *bytes, size_t n, uint64_t, uint64_t) {
        bodyBytes += n;
        if (request.consume && !request.consume(out.head, {bytes, n})) {
            code = Code::Cancelled;
            return false;
        }
        if (!request.consume && !appendToBody(out.body, {bytes, n}, request)) {
            code = Code::AnswerTooLarge;
            return false;
        }
        stream.bodyAdvanced();
        return true;
    };
    httplib::Response response;
    ResponseReader reader;
    const bool complete = reader.read(stream, libraryRequest, response);
    if (!headChecked && complete) {
        headChecked = true;
        code = checkHead(stream, request, out.head);
    }
    if (code != Code::Ok || (headChecked && out.head.framing == BodyFraming::None)) {
        return code;
    }
    if (headChecked && out.head.framing == BodyFraming::ByClose) {
        return stream.closedCleanly() ? Code::Ok : Code::BadAnswer;
    }
    if (!complete) {
        return stream.code() == Code::Ok ? Code::BadAnswer : stream.code();
    }
    const bool ended = out.head.framing == BodyFraming::Chunked ? stream.lastChunkRead() : bodyBytes == out.head.length;
    return ended ? Code::Ok : Code::BadAnswer;
}

/// Reads responses until one is not skipped. A request that was not sent completely gets no response of its own.
Code readOwnResponse(ResponseStream &stream, const ExchangeRequest &request, bool sent, ExchangeResult &out)
{
    while (true) {
        const Code code = readResponse(stream, request, out);
        const bool kept = out.head.framing != BodyFraming::ByClose && !out.head.close;
        if (code != Code::Ok || !sent || !kept || !request.skips || !request.skips(out.head)) {
            return code;
        }
        if (++out.skipped > MaxSkippedResponses) {
            return Code::BadAnswer;
        }
        out.head = {};
        out.body.clear();
        stream.startNext();
    }
}

/// Waits until more of the body or an early response may have arrived.
void waitForEither(int body, int target, Duration timeout)
{
    std::array<pollfd, 2> entries{pollfd{body, POLLIN, 0}, pollfd{target, POLLIN, 0}};
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(std::max(timeout, Duration::zero()));
    ::poll(entries.data(), entries.size(), static_cast<int>(left.count())); // an interrupted wait is just shorter
}

std::string chunkHeader(size_t bytes)
{
    std::array<char, 20> buf{};
    std::snprintf(buf.data(), buf.size(), "%zx\r\n", bytes);
    return buf.data();
}

/// Sends the head, and the body while it arrives. At most one buffer of it is kept: while the target does not read,
/// nothing more is taken from the caller. InputPending: the target has responded or closed before the end of the body.
/// `bodyCode` is set when the body fails.
IoResult sendStream(Connection &connection, const Clock &clock, const ExchangeRequest &request, Code &bodyCode)
{
    BodyStream &body = *request.stream;
    const bool chunked = !body.length.has_value();
    std::array<char, BufferBytes> buf;
    std::string_view head = request.head;
    IoResult out;
    const auto send = [&](std::span<const std::string_view> parts) {
        const IoResult sent = connection.send(parts, request.deadline - clock.now());
        out.bytes += sent.bytes;
        out.end = sent.end;
        head = {};
        return sent.end == IoEnd::Done;
    };
    body.started = true;
    while (true) {
        const BodyRead got = body.read(buf);
        if (got.state == BodyState::Failed) {
            bodyCode = got.code;
            return out;
        }
        if (got.state == BodyState::Ended) {
            send(std::array<std::string_view, 2>{head, chunked ? ChunksEnd : std::string_view()});
            return out;
        }
        if (got.state == BodyState::Data) {
            const std::string size = chunked ? chunkHeader(got.bytes) : std::string();
            const std::string_view end = chunked ? std::string_view("\r\n") : std::string_view();
            if (!send(std::array<std::string_view, 4>{head, size, std::string_view(buf.data(), got.bytes), end})) {
                return out;
            }
        } else {
            if (!head.empty() && !send(std::array<std::string_view, 1>{head})) {
                return out;
            }
            waitForEither(body.descriptor, connection.descriptor(),
                          std::min(got.until, request.deadline) - clock.now());
        }
        if (!connection.isReusable()) { // the target has sent something
            out.end = IoEnd::InputPending;
            return out;
        }
        if (clock.now() >= request.deadline) {
            out.end = IoEnd::TimedOut;
            return out;
        }
    }
}

/// A connection lost within a response means that the response is truncated.
Code asTruncated(Code code, bool responseStarted)
{
    return code == Code::ConnectionLost && responseStarted ? Code::BadAnswer : code;
}

} // namespace

ExchangeResult exchange(Connection &connection, const Clock &clock, const ExchangeRequest &request)
{
    ExchangeResult out;
    // A target that pauses its reading of a large body must not be taken for lost; the deadline bounds it.
    const bool large = request.stream != nullptr || request.body.size() > BufferBytes;
    const ScopeGuard restoreLimit([&] {
        if (large) {
            connection.setUnacknowledgedLimit(UnacknowledgedLimit);
        }
    });
    if (large) {
        connection.setUnacknowledgedLimit(request.deadline - clock.now());
    }
    Code bodyCode = Code::Ok;
    const std::array<std::string_view, 2> parts{request.head, request.body};
    const IoResult sent = request.stream != nullptr ? sendStream(connection, clock, request, bodyCode)
                                                    : connection.send(parts, request.deadline - clock.now());
    out.bytesSent = sent.bytes;
    if (bodyCode != Code::Ok) {
        out.code = bodyCode;
        out.bodyFailed = true;
        return out;
    }
    if (sent.end == IoEnd::TimedOut) {
        out.code = Code::AnswerTimeout;
        return out;
    }
    // A target may respond and close before it has read the complete body, so the response is read even if sending
    // failed.
    ResponseStream stream(connection, clock, request);
    const Code code = readOwnResponse(stream, request, sent.end == IoEnd::Done, out);
    out.responseStarted = stream.responseStarted();
    out.code = asTruncated(code, out.responseStarted);
    out.reusable = out.code == Code::Ok && !out.head.close && out.head.framing != BodyFraming::ByClose
                   && stream.drained() && sent.end == IoEnd::Done && out.skipped == 0;
    return out;
}

} // namespace damask
