#include "net/framestream.h"

#include "loopback.h"
#include "net/listener.h"
#include "residentmemory.h"

#include <boost/test/unit_test.hpp>

#include <list>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint peerAddress{loopbackAddress(0), 27981};

std::vector<std::uint8_t> largeFrame()
{
    ForwardRequest request;
    request.body.assign(MaxBodyBytes - 1024, 'a');
    return encode(Envelope{peerAddress, 1, 1}, request);
}

/// Receives frames on all connections.
struct Fixture {
    Fixture()
    {
        listener.start();
    }
    ~Fixture()
    {
        sockets.clear();
        listener.close();
        run(50ms);
    }

    void run(Milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    tcp::socket &connect()
    {
        auto &socket = sockets.emplace_back(context);
        socket.connect(toAsio<tcp>(peerAddress));
        return socket;
    }

    awaitable<void> receiveAll(FrameStreamPtr stream)
    {
        while (auto message = co_await stream->receive()) {
            const auto *request = std::get_if<ForwardRequest>(&message->message);
            receivedBytes += request ? request->body.size() : 0;
        }
        ++ended;
    }

    asio::io_context context{1};
    std::list<tcp::socket> sockets;
    std::size_t receivedBytes = 0; ///< of bodies
    unsigned ended = 0; ///< connections
    Listener listener{context, peerAddress, [this](tcp::socket socket) {
                          auto stream = std::make_shared<FrameStream>(std::move(socket));
                          asio::co_spawn(context, receiveAll(std::move(stream)), asio::detached);
                      }};
};

} // namespace

// Guards against memory that fills with frames whose length is announced and whose bytes never arrive.
BOOST_FIXTURE_TEST_CASE(announcedFramesTakeNoMemory, Fixture)
{
    constexpr std::size_t Connections = 100;
    constexpr std::size_t MaxBytesPerConnection = 256 << 10;
    const auto frame = largeFrame();
    run(10ms);
    const auto before = residentBytes();
    for (std::size_t n = 0; n < Connections; ++n) {
        asio::write(connect(), asio::buffer(frame.data(), FrameHeaderBytes + 10));
    }
    run(100ms);
    BOOST_TEST(ended == 0U);
    BOOST_TEST(residentBytes() < before + Connections * MaxBytesPerConnection);
}

// Guards against large frames that are lost because they arrive in parts.
BOOST_FIXTURE_TEST_CASE(largeFramesArriveWhole, Fixture)
{
    const auto frame = largeFrame();
    auto &socket = connect();
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            for (std::size_t at = 0; at < frame.size(); at += 50'000) {
                const auto part = asio::buffer(frame) + at;
                co_await asio::async_write(socket, asio::buffer(part, 50'000), asio::use_awaitable);
            }
            co_await asio::async_write(socket, asio::buffer(frame), asio::use_awaitable);
        },
        asio::detached);
    const auto limit = Clock::now() + 5s;
    while (receivedBytes < 2 * (MaxBodyBytes - 1024) && Clock::now() < limit) {
        run(10ms);
    }
    BOOST_TEST(receivedBytes == 2 * (MaxBodyBytes - 1024));
}

// Guards against a connection that is read on after bytes that are no frame.
BOOST_FIXTURE_TEST_CASE(bytesThatAreNoFrameEndTheConnection, Fixture)
{
    const std::string garbage(FrameHeaderBytes * 10, 'x');
    asio::write(connect(), asio::buffer(garbage));
    std::vector<std::uint8_t> tooLong = largeFrame();
    std::fill(tooLong.begin(), tooLong.begin() + FrameHeaderBytes, std::uint8_t(0xff));
    asio::write(connect(), asio::buffer(tooLong.data(), FrameHeaderBytes));
    run(100ms);
    BOOST_TEST(ended == 2U);
}
