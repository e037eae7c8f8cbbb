// Connections to both kinds of addresses, and one that the peer ends while data is still being sent: a reset is not a
// clean end.
#include "fakes/fake_target.h"
#include "http/exchange.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

/// A connection to a peer that has sent its response and ended the connection.
struct EndedFixture {
    explicit EndedFixture(FakeReply reply)
        : target([&](int, const std::string &) { return reply; })
    {
        auto opened = Connection::open("127.0.0.1", target.port(), 2s);
        cr_assert(opened.has_value());
        connection = std::move(*opened);
        cr_assert(send("GET / HTTP/1.1\r\n\r\n") == IoEnd::Done);
        target.waitForClosed(1);
    }
    IoEnd send(std::string_view bytes)
    {
        return connection->send(std::array<std::string_view, 1>{bytes}, 2s).end;
    }
    /// Sends until the connection refuses it; the peer's system answers the first bytes after a close with a reset.
    IoEnd sendUntilFailed()
    {
        IoEnd end = IoEnd::Done;
        for (int n = 0; n < 1000 && end == IoEnd::Done; ++n) {
            end = send("more of the request");
        }
        return end;
    }
    std::string receiveAll(IoEnd &end)
    {
        std::string out;
        std::array<char, 64> buf{};
        IoResult got;
        while ((got = connection->receive(buf, 2s)).end == IoEnd::Done) {
            out.append(buf.data(), got.bytes);
        }
        end = got.end;
        return out;
    }

    FakeTarget target;
    std::unique_ptr<Connection> connection;
};

} // namespace

// The error of a reset is reported once; after a send had reported it, the end of the data looked like a clean close.
Test(connection, a_reset_that_a_send_has_reported_is_no_clean_end_of_the_data)
{
    EndedFixture it({.bytes = "part", .close = true, .reset = true});
    cr_assert(it.send("more of the request") == IoEnd::Reset);
    IoEnd end = IoEnd::Done;
    cr_assert(it.receiveAll(end) == "part");
    cr_assert(end == IoEnd::Reset, "%d", static_cast<int>(end));
}

// The same for a request that is sent in one piece, as small bodies are.
Test(connection, a_response_without_a_length_whose_reset_a_send_has_reported_is_truncated)
{
    for (const bool reset : {true, false}) {
        EndedFixture it({.bytes = "HTTP/1.1 200 OK\r\n\r\nbody", .close = true, .reset = reset});
        if (!reset) {
            cr_assert(it.sendUntilFailed() == IoEnd::Reset);
        }
        const Clock clock;
        const ExchangeResult got = exchange(*it.connection, clock,
                                            {.method = "PUT",
                                             .head = "PUT / HTTP/1.1\r\nContent-Length: 6\r\n\r\n",
                                             .body = "seat=4",
                                             .deadline = clock.now() + 120s,
                                             .maxResponseBytes = 100,
                                             .closeEndsBody = true});
        cr_assert(got.code == (reset ? Code::BadAnswer : Code::Ok), "%d", codeNumber(got.code));
        cr_assert(reset || got.body == "body", "it ended cleanly, before the connection was reset");
    }
}

Test(connection, a_clean_end_stays_one_when_the_peer_resets_what_is_sent_after_it)
{
    EndedFixture it({.bytes = "whole", .close = true});
    cr_assert(it.sendUntilFailed() == IoEnd::Reset);
    IoEnd end = IoEnd::Done;
    cr_assert(it.receiveAll(end) == "whole");
    cr_assert(end == IoEnd::Closed, "%d", static_cast<int>(end));
}

Test(connection, connects_to_an_ipv6_address)
{
    const FileDescriptor listener(socket(AF_INET6, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in6 to{};
    to.sin6_family = AF_INET6;
    to.sin6_addr = in6addr_loopback;
    socklen_t size = sizeof to;
    if (!listener.valid() || bind(listener.get(), reinterpret_cast<sockaddr *>(&to), size) != 0) {
        cr_skip_test("this machine has no IPv6");
    }
    cr_assert(listen(listener.get(), 1) == 0);
    getsockname(listener.get(), reinterpret_cast<sockaddr *>(&to), &size);
    cr_assert(Connection::open("::1", ntohs(to.sin6_port), 2s).has_value());
    cr_assert(!Connection::open("localhost", ntohs(to.sin6_port), 2s).has_value(), "names are not looked up");
}
