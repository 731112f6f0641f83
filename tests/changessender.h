#pragma once

#include "gateway/changesreply.h"
#include "gateway/storefollower.h"
#include "loopback.h"
#include "net/httpserver.h"
#include "platform/adapter.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <random>

namespace laburnumspar {

using namespace std::chrono_literals;

constexpr std::uint16_t ChangesPort = 27902;
/// Rate at which an instance sends to another one while its link is shared with many others.
constexpr double ChangesBytesPerSecond = 100'000;
/// Time after the acknowledgement of a departure in which every instance has to respect it.
constexpr Milliseconds DrainTime{2000};

inline std::string makeEntry(const std::string &state)
{
    return R"({"service":"s1","addr":"127.0.0.9:80","zone":"palermo","version":"v1","slots":6,"state":")" + state
        + R"(","warmup_left_s":0,"seq":1,"born":1000})";
}

/// Routes with random prefixes, which do not get much smaller by compression.
inline std::string makeConfig(std::uint64_t version, unsigned routes)
{
    std::mt19937_64 random(version);
    std::string rows;
    for (unsigned n = 0; n < routes; ++n) {
        const auto prefix = std::to_string(random()) + std::to_string(random());
        rows += (n > 0 ? "," : "");
        rows += R"(["look","a.example","/)" + prefix + R"(/","safe",4,0.5,2,"s1",2])";
    }
    return R"({"version":"r)" + std::to_string(version)
        + R"(","routes":{"columns":["name","host","prefix","kind","timeout_s","slo_s","priority","service","attempts"],
        "rows":[)"
        + rows + R"(]},"services":{"columns":["name","health_path","max_conns"],"rows":[["s1","/healthz",360]]}})";
}

/// An instance that has the newest changes and sends them over a narrow link.
class ChangesSender
{
public:
    ChangesSender(detail::asio::io_context &context, const PlatformAdapter &adapter, const std::string &ip)
        : m_ip(ip)
        , m_registry("palermo", {}, 1)
        , m_copy(adapter, m_registry)
        , m_server(context, {ip, ChangesPort}, {}, [this](detail::HttpRequest request, detail::CancellationPtr) {
            return answer(std::move(request));
        })
    {
        detail::StoreCopy::Listing listing;
        m_copy.enterEra(1, Clock::now());
        PlatformAdapter::Page page;
        page.revision = {1, 10};
        m_copy.applyPage(std::move(page), listing, Clock::now());
        m_copy.finishListing(listing, Clock::now());
        m_server.start();
    }

    void write(const std::string &key, const std::string &value)
    {
        PlatformAdapter::Page page;
        const auto after = m_copy.position().value();
        page.revision = {after.era, after.number + 1};
        page.items.push_back({key, value, page.revision});
        m_copy.applyChanges(page, after, Clock::now());
    }

    InstanceStatus status() const
    {
        InstanceStatus status;
        status.ip = m_ip;
        status.zone = "palermo";
        status.incarnation = 1;
        status.capacity = 200;
        status.role = InstanceRole::Active;
        status.storeRevision = m_copy.mirror().newestRevision();
        return status;
    }
    /// A silent instance answers no request.
    void setSilent(bool silent)
    {
        m_silent = silent;
    }

private:
    detail::awaitable<detail::HttpResponse> answer(detail::HttpRequest request)
    {
        auto response = m_replies.answer(request, m_copy);
        const double seconds = double(response.body().size()) / ChangesBytesPerSecond;
        co_await detail::sleepFor(m_silent ? 60s : Milliseconds(std::int64_t(1000 * seconds)));
        co_return response;
    }

    std::string m_ip;
    detail::ServiceRegistry m_registry;
    detail::StoreCopy m_copy;
    detail::ChangesReplies m_replies;
    detail::HttpServer m_server;
    bool m_silent = false;
};

/// An instance that learns of changes from others only.
struct ReceiverFixture {
    ReceiverFixture()
        : serviceRegistry("palermo", {}, 1)
        , group(makeSelf(), {}, Clock::now())
        , follower(context, makeSettings(), adapter, group, serviceRegistry, {[] {}})
    {
    }

    static InstanceStatus makeSelf()
    {
        InstanceStatus status;
        status.ip = loopbackAddress(0);
        status.zone = "palermo";
        status.incarnation = 1;
        return status;
    }

    const GatewaySettings &makeSettings()
    {
        settings.ip = loopbackAddress(0);
        settings.zone = "palermo";
        settings.zones = {"palermo"};
        settings.store = {loopbackAddress(0), 27901};
        settings.peers = {loopbackAddress(0), ChangesPort};
        return settings;
    }

    void addSenders(unsigned count)
    {
        for (unsigned n = 0; n < count; ++n) {
            senders.emplace_back(context, adapter, loopbackAddress(1 + n));
        }
        write("servers/i-1", makeEntry("ready"));
        write("op/config", makeConfig(1, 1));
        follower.start();
        BOOST_REQUIRE(runUntil([this] { return follower.isComplete(); }));
    }

    void write(const std::string &key, const std::string &value)
    {
        for (auto &it : senders) {
            it.write(key, value);
        }
    }

    bool isDraining() const
    {
        const auto *entry = const_cast<detail::ServiceRegistry &>(serviceRegistry).upstreams().find("i-1");
        return entry != nullptr && entry->phase == UpstreamPhase::Draining;
    }

    /// Time until the departure of the upstream is known.
    Milliseconds drainDelay()
    {
        const auto begin = Clock::now();
        BOOST_TEST(runUntil([this] { return isDraining(); }));
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - begin);
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto limit = Clock::now() + 20s;
        while (!condition() && Clock::now() < limit) {
            for (auto &it : senders) {
                group.receiveStatus(it.status(), Clock::now());
                follower.receivePeerStatus(it.status(), Clock::now());
            }
            context.restart();
            context.run_for(20ms);
        }
        return condition();
    }

    detail::asio::io_context context{1};
    GatewaySettings settings;
    PlatformAdapter adapter = platform::makeAdapter();
    detail::ServiceRegistry serviceRegistry;
    InstanceGroup group;
    detail::StoreFollower follower;
    std::list<ChangesSender> senders;
};

} // namespace laburnumspar
