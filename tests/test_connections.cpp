#include "lspar-load/connections.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <list>

using namespace laburnumspar;
using tools::Connections;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Accepts all connections and holds them open.
struct Listener {
    explicit Listener(asio::io_context &context)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }
    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (!ec) {
                accepted.push_back(std::move(socket));
                accept();
            }
        });
    }
    Endpoint address() const
    {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }
    tcp::acceptor acceptor;
    std::list<tcp::socket> accepted;
};

constexpr Milliseconds Short{30};
constexpr Milliseconds Ample{2000};

struct Fixture {
    asio::io_context context;
    Listener one{context};
    Listener other{context};
    Connections connections{context.get_executor(), 2};

    /// Runs `body` to its end.
    void run(asio::awaitable<void> body)
    {
        bool ended = false;
        asio::co_spawn(context, std::move(body), [&](const std::exception_ptr &error) {
            ended = true;
            BOOST_TEST(!error);
        });
        while (!ended && context.run_one_for(Ample)) {
        }
        BOOST_TEST(ended);
    }
};

asio::awaitable<void> useThree(Connections &connections, Endpoint address)
{
    auto first = co_await connections.open(address, Clock::now() + Ample);
    auto second = co_await connections.open(address, Clock::now() + Ample);
    BOOST_TEST((first && second));
    auto third = co_await connections.open(address, Clock::now() + Short);
    BOOST_TEST(!third);
    BOOST_TEST(connections.count() == 2U);
}

asio::awaitable<void> keepWhileWaiting(Connections &connections, Endpoint address)
{
    auto first = co_await connections.open(address, Clock::now() + Ample);
    auto second = co_await connections.open(address, Clock::now() + Ample);
    asio::steady_timer timer(co_await asio::this_coro::executor, Short);
    timer.async_wait([&](boost::system::error_code) { connections.keep(address, std::move(first)); });
    auto third = co_await connections.open(address, Clock::now() + Ample);
    BOOST_TEST(!!third);
    BOOST_TEST(connections.count() == 2U);
}

asio::awaitable<void> moveToOther(Connections &connections, Endpoint address, Endpoint other)
{
    for (int n = 0; n < 2; ++n) {
        auto stream = co_await connections.open(address, Clock::now() + Ample);
        connections.keep(address, std::move(stream));
    }
    auto first = co_await connections.open(other, Clock::now() + Ample);
    auto second = co_await connections.open(other, Clock::now() + Ample);
    BOOST_TEST((first && second));
    BOOST_TEST(connections.count() == 2U);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(connections_suite, Fixture)

// Guards against running out of descriptors when more requests are under way than the process may have open.
BOOST_AUTO_TEST_CASE(no_more_than_the_limit_are_open)
{
    run(useThree(connections, one.address()));
}

// Guards against a request that waits for a connection although one was given back.
BOOST_AUTO_TEST_CASE(a_waiting_request_gets_a_returned_connection)
{
    run(keepWhileWaiting(connections, one.address()));
}

// Guards against idle connections to one instance that keep the caller from another.
BOOST_AUTO_TEST_CASE(idle_connections_make_room_for_another_address)
{
    run(moveToOther(connections, one.address(), other.address()));
}

BOOST_AUTO_TEST_SUITE_END()
