#include "gateway/httpchannel.h"

#include "loopback.h"
#include "rawupstream.h"

#include <boost/test/unit_test.hpp>

#include <tuple>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint serverAddress{loopbackAddress(0), 27941};
/// What a server may have sent before two connections are closed: the limits of this side, and the socket buffers of
/// both sides.
constexpr std::size_t MaxSentWithoutEnd = 64 << 20;

struct Fixture {
    ~Fixture()
    {
        server.close();
        context.restart();
        context.run_for(50ms);
    }

    ChannelReply get()
    {
        std::optional<ChannelReply> reply;
        asio::co_spawn(
            context, [&]() -> awaitable<void> { reply = co_await channel.get("/", 1s); }, asio::detached);
        const auto limit = Clock::now() + 20s;
        while (!reply && Clock::now() < limit) {
            context.restart();
            context.run_for(5ms);
        }
        BOOST_REQUIRE(reply);
        return std::move(*reply);
    }

    asio::io_context context{1};
    RawUpstream server{context, serverAddress, "X-Id"};
    HttpChannel channel{context, serverAddress};
};

} // namespace

// Guards against a list of the store, or the changes of another instance, that broke off and are taken for whole ones.
BOOST_FIXTURE_TEST_CASE(repliesThatBreakOffAreFailures, Fixture)
{
    const std::string text = "HTTP/1.1 200 OK\r\nStore-Era: 2\r\nContent-Length: 4\r\n\r\n1234";
    for (std::size_t n = 0; n < text.size(); ++n) {
        server.script
            = [part = text.substr(0, n)](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
            co_await self.send(socket, part);
            error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        };
        BOOST_TEST_CONTEXT(n << " bytes")
        {
            BOOST_TEST(get().status == 0U);
        }
    }
    server.script = [text](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
        co_await self.send(socket, text);
    };
    const auto reply = get();
    BOOST_TEST(reply.status == 200U);
    BOOST_TEST(reply.body == "1234");
    BOOST_TEST(reply.headers["Store-Era"] == "2");
}

// Guards against memory that fills with a reply of the store or of another instance that has no end, and processor time
// that is spent on it until the time-out.
BOOST_FIXTURE_TEST_CASE(endlessRepliesAreCutOff, Fixture)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string block(8192, 'a');
    const std::vector<std::pair<std::string, std::string>> replies{
        {"", block},
        {"HTTP/1.1 200 OK\r\nX-Long: ", block},
        {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\n\r\n", block},
        {chunked, "2000\r\n" + block + "\r\n"},
        {chunked, "1\r\na\r\n"},
        {chunked + "5;", block},
        {chunked, "1;" + std::string(64, 'a') + "\r\na\r\n"},
        {chunked + "1\r\na\r\n0\r\nX-Trailer: ", block},
    };
    for (const auto &[prefix, repeated] : replies) {
        BOOST_TEST_CONTEXT(prefix << repeated.substr(0, 32))
        {
            server.script = [prefix = prefix, repeated = repeated](
                                RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
                co_await self.send(socket, prefix);
                co_await self.sendWithoutEnd(socket, repeated);
            };
            server.sent = 0;
            const auto reply = get();
            BOOST_TEST(reply.status != 200U);
            BOOST_TEST(name(reply.failure) != name(ReplyFailure::TooSlow));
            get(); // a channel with unread bytes is closed at the next request
            context.restart();
            context.run_for(100ms);
            BOOST_TEST(server.sent < MaxSentWithoutEnd);
        }
    }
}

// Guards against a reply that comes back the same each time and is taken for an unreachable server (review case 4).
BOOST_FIXTURE_TEST_CASE(failuresHaveTypes, Fixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunk = "100000\r\n" + std::string(1 << 20, ' ') + "\r\n";
    std::string chunks = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (unsigned n = 0; n < 17; ++n) {
        chunks += chunk;
    }
    const std::vector<std::tuple<std::string, bool, ReplyFailure>> cases{
        {head + "Content-Length: 16777217\r\n\r\n", true, ReplyFailure::TooLarge},
        {chunks, true, ReplyFailure::TooLarge},
        {head + "X-Long: " + std::string(200'000, 'x') + "\r\n\r\n", true, ReplyFailure::TooLarge},
        {"HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n", true, ReplyFailure::Malformed},
        {"220 mail.example ESMTP\r\n\r\n", true, ReplyFailure::Malformed},
        {head + "Content-Length: many\r\n\r\n", true, ReplyFailure::Malformed},
        {head + "Content-Length: 10\r\n\r\n{", true, ReplyFailure::TooSlow},
        {head, true, ReplyFailure::Unavailable},
        {"", true, ReplyFailure::Unavailable},
        {head + "Content-Length: 10\r\n\r\n{", false, ReplyFailure::Unavailable},
        {"", false, ReplyFailure::Unavailable}};
    for (const auto &[text, open, failure] : cases) {
        server.script
            = [text = text, open = open](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
            co_await self.send(socket, text);
            if (!open) {
                error_code ignored;
                socket.close(ignored);
            }
        };
        BOOST_TEST_CONTEXT(text.substr(0, 60) << (open ? "" : ", then closed"))
        {
            const auto reply = get();
            BOOST_TEST(reply.status == 0U);
            BOOST_TEST(name(reply.failure) == name(failure));
        }
    }
    server.close();
    BOOST_TEST(name(get().failure) == name(ReplyFailure::Unavailable));
    BOOST_TEST(name(statusFailure(404)) == name(ReplyFailure::UnexpectedStatus));
    BOOST_TEST(name(statusFailure(500)) == name(ReplyFailure::UnexpectedStatus));
    BOOST_TEST(name(statusFailure(429)) == name(ReplyFailure::Unavailable));
    BOOST_TEST(name(statusFailure(503)) == name(ReplyFailure::Unavailable));
}
