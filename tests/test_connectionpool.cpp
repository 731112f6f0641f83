#include "lspar-load/connectionpool.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <list>

using namespace laburnumspar;
using tools::ConnectionPool;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Accepts all connections and keeps them open.
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

constexpr Milliseconds ShortTimeout{30};
constexpr Milliseconds LongTimeout{2000};

struct Fixture {
    asio::io_context context;
    Listener listener{context};
    Listener otherListener{context};
    ConnectionPool pool{context.get_executor(), 2};

    /// Runs the coroutine to its end.
    void run(asio::awaitable<void> body)
    {
        bool ended = false;
        asio::co_spawn(context, std::move(body), [&](const std::exception_ptr &error) {
            ended = true;
            BOOST_TEST(!error);
        });
        while (!ended && context.run_one_for(LongTimeout)) {
        }
        BOOST_TEST(ended);
    }
};

asio::awaitable<void> acquireThree(ConnectionPool &pool, Endpoint address)
{
    auto first = co_await pool.acquire(address, Clock::now() + LongTimeout);
    auto second = co_await pool.acquire(address, Clock::now() + LongTimeout);
    BOOST_TEST((first && second));
    auto third = co_await pool.acquire(address, Clock::now() + ShortTimeout);
    BOOST_TEST(!third);
    BOOST_TEST(pool.count() == 2U);
}

asio::awaitable<void> releaseWhileWaiting(ConnectionPool &pool, Endpoint address)
{
    auto first = co_await pool.acquire(address, Clock::now() + LongTimeout);
    auto second = co_await pool.acquire(address, Clock::now() + LongTimeout);
    asio::steady_timer timer(co_await asio::this_coro::executor, ShortTimeout);
    timer.async_wait([&](boost::system::error_code) { pool.release(address, std::move(first)); });
    auto third = co_await pool.acquire(address, Clock::now() + LongTimeout);
    BOOST_TEST(!!third);
    BOOST_TEST(pool.count() == 2U);
}

asio::awaitable<void> switchAddress(ConnectionPool &pool, Endpoint address, Endpoint other)
{
    for (int n = 0; n < 2; ++n) {
        auto stream = co_await pool.acquire(address, Clock::now() + LongTimeout);
        pool.release(address, std::move(stream));
    }
    auto first = co_await pool.acquire(other, Clock::now() + LongTimeout);
    auto second = co_await pool.acquire(other, Clock::now() + LongTimeout);
    BOOST_TEST((first && second));
    BOOST_TEST(pool.count() == 2U);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(connectionPoolSuite, Fixture)

// Guards against running out of file descriptors: with more requests in flight than the process may have connections,
// the pool must not open more than its limit.
BOOST_AUTO_TEST_CASE(limitsOpenConnections)
{
    run(acquireThree(pool, listener.address()));
}

// Guards against a request that keeps waiting for a connection although one was released.
BOOST_AUTO_TEST_CASE(waitingRequestGetsReleasedConnection)
{
    run(releaseWhileWaiting(pool, listener.address()));
}

// Guards against idle connections to one address that prevent connections to another one at the limit.
BOOST_AUTO_TEST_CASE(closesIdleConnectionsForOtherAddress)
{
    run(switchAddress(pool, listener.address(), otherListener.address()));
}

BOOST_AUTO_TEST_SUITE_END()
