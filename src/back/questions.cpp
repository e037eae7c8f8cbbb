#include "back/questions.h"

#include "back/request_head.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <poll.h>

namespace damask {

namespace {

constexpr size_t MaxAnswerBytes = 16UL * 1024; // of head and body
constexpr size_t ReadBytes = 2048;             // from a socket at once
constexpr std::string_view HeadEnd = "\r\n\r\n";

/// One target that is being asked.
class Question
{
public:
    Question(const Clock &clock, ConnectionTable &table, const TargetForm &form, const TargetAddress &target)
        : m_clock(clock)
        , m_table(table)
        , m_form(form)
        , m_target(target)
        , m_began(clock.now())
    {
    }

    void begin()
    {
        auto lease = m_table.take(connectionKey(m_target.address, m_target.port), m_target.connectionShare, false);
        if (!lease) {
            end(tl::make_unexpected(lease.error()));
            return;
        }
        m_lease = std::move(*lease);
        m_leased = true;
        if (m_lease.connection) {
            say();
        } else {
            connect();
        }
    }

    /// The descriptor to wait on and for what; none when done.
    pollfd waits() const
    {
        const bool reading = m_phase == Phase::Reading;
        return {m_done ? -1 : m_lease.connection->descriptor(), static_cast<short>(reading ? POLLIN : POLLOUT), 0};
    }

    void onReady()
    {
        if (m_phase == Phase::Reading) {
            read();
        } else if (const auto connected = m_lease.connection->finish(); connected) {
            say();
        } else {
            end(tl::make_unexpected(connected.error()));
        }
    }

    void giveUp()
    {
        if (!m_done) {
            const bool connecting = m_phase == Phase::Connecting;
            end(fail(connecting ? Code::ConnectFailed : Code::AnswerTimeout, "no answer in time"));
        }
    }

    bool done() const
    {
        return m_done;
    }
    Told &told()
    {
        return m_told;
    }
    const std::string &key() const
    {
        return m_lease.key;
    }
    bool silentOnKept() const // a kept connection gave no byte
    {
        return m_lease.kept && m_bytes.empty() && !m_told.report;
    }

private:
    enum class Phase {
        Connecting,
        Reading,
    };

    void connect()
    {
        auto begun = Connection::begin(m_target.address, m_target.port);
        if (!begun) {
            end(tl::make_unexpected(begun.error()));
            return;
        }
        m_lease.connection = std::move(*begun);
        m_lease.kept = false;
        m_told.connected = true;
        m_phase = Phase::Connecting;
    }

    void say()
    {
        const std::string head =
            ownRequestHead("GET", m_form.question(m_target), connectionKey(m_target.address, m_target.port));
        const std::array<std::string_view, 1> parts{head};
        const IoResult sent = m_lease.connection->send(parts, Duration::zero());
        if (sent.end == IoEnd::Done) {
            m_phase = Phase::Reading;
        } else {
            lose();
        }
    }

    void read()
    {
        std::array<char, ReadBytes> buf{};
        const IoResult got = m_lease.connection->receive(buf, Duration::zero());
        if (got.end == IoEnd::TimedOut) {
            return;
        }
        if (got.end != IoEnd::Done) {
            lose();
            return;
        }
        m_bytes.append(buf.data(), got.bytes);
        const size_t at = m_bytes.find(HeadEnd);
        if (at != std::string::npos) {
            take(at + HeadEnd.size());
        } else if (m_bytes.size() > MaxAnswerBytes) {
            end(fail(Code::AnswerTooLarge, "the head is too large"));
        }
    }

    /// The head is whole and ends at the given byte.
    void take(size_t headBytes)
    {
        const auto head = parseAnswerHead(std::string_view(m_bytes).substr(0, headBytes), "GET");
        if (!head) {
            end(tl::make_unexpected(head.error()));
            return;
        }
        if (head->framing == BodyFraming::Chunked || head->framing == BodyFraming::ByClose) {
            end(fail(Code::BadAnswer, "the answer says no length"));
            return;
        }
        const size_t length = head->framing == BodyFraming::Length ? head->length : 0;
        if (headBytes + length > MaxAnswerBytes) {
            end(fail(Code::AnswerTooLarge, "the body is too large"));
            return;
        }
        if (m_bytes.size() < headBytes + length) {
            return;
        }
        m_reusable = m_bytes.size() == headBytes + length && !head->close;
        m_lease.keepFor = keepAliveTime(head->headers).value_or(m_lease.keepFor);
        auto report = m_form.told(m_target, *head, std::string_view(m_bytes).substr(headBytes));
        m_reusable = m_reusable && (report || report.error().code != Code::BadAnswer);
        end(std::move(report));
    }

    /// A kept connection that was closed meanwhile says nothing of its target: asks once more on a new one.
    void lose()
    {
        if (m_lease.kept && m_bytes.empty()) {
            connect();
        } else {
            end(fail(Code::ConnectionLost, "the connection broke"));
        }
    }

    void end(Result<LoadReport> report)
    {
        m_done = true;
        m_told.report = std::move(report);
        m_told.took = m_clock.now() - m_began;
        if (!m_leased) {
            return;
        }
        if (m_reusable) {
            m_table.give(std::move(m_lease));
        } else {
            m_table.drop(m_lease);
            m_lease.connection.reset();
        }
    }

    const Clock &m_clock;
    ConnectionTable &m_table;
    const TargetForm &m_form;
    const TargetAddress &m_target;
    TimePoint m_began;
    ConnectionLease m_lease;
    bool m_leased = false;
    Phase m_phase = Phase::Connecting;
    std::string m_bytes;
    bool m_reusable = false;
    bool m_done = false;
    Told m_told{.report = fail(Code::AnswerTimeout)};
};

int waitMilliseconds(Duration left)
{
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(std::max(left, Duration::zero())).count());
}

void askUntil(const Clock &clock, std::span<Question> questions, TimePoint until)
{
    std::vector<pollfd> waits;
    while (std::any_of(questions.begin(), questions.end(), [](const Question &it) { return !it.done(); })) {
        const Duration left = until - clock.now();
        if (left <= Duration::zero()) {
            return;
        }
        waits.clear();
        for (const Question &it : questions) {
            waits.push_back(it.waits());
        }
        const int ready = ::poll(waits.data(), waits.size(), waitMilliseconds(left));
        if (ready <= 0) {
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            return;
        }
        for (size_t n = 0; n < questions.size(); ++n) {
            if (waits[n].revents != 0 && !questions[n].done()) {
                questions[n].onReady();
            }
        }
    }
}

} // namespace

std::vector<Told> askAll(const Clock &clock, ConnectionTable &table, const TargetForm &form,
                         std::span<const std::shared_ptr<const TargetAddress>> targets, Duration patience)
{
    const TimePoint began = clock.now();
    std::vector<Question> questions;
    questions.reserve(targets.size());
    for (const auto &it : targets) {
        questions.emplace_back(clock, table, form, *it).begin();
    }
    askUntil(clock, questions, began + patience);
    std::vector<Told> out;
    for (Question &it : questions) {
        it.giveUp();
        if (it.silentOnKept()) {
            table.retireIdle(it.key(), began);
        }
        out.push_back(std::move(it.told()));
    }
    return out;
}

} // namespace damask
