#pragma once

#include "gateway/changesreply.h"
#include "gateway/storefollower.h"
#include "loopback.h"
#include "lspar-soak/faultproxy.h"
#include "lspar-soak/simulatedstore.h"
#include "platform/adapter.h"

#include <thread>

namespace laburnumspar {

/// One instance, as far as it follows the store: its own part of the group, registry and copy of the store.
class FollowingInstance
{
public:
    static constexpr std::uint16_t PeerPort = 27902;

    FollowingInstance(const std::string &ip, const Endpoint &store)
        : m_settings(makeSettings(ip, store))
        , m_peers(m_context,
                  m_settings.peers,
                  {},
                  [this](detail::HttpRequest request, detail::CancellationPtr) { return answer(std::move(request)); })
        , m_registry("palermo", {}, 1)
        , m_group(makeStatus(ip), {}, Clock::now())
        , m_follower(m_context, m_settings, m_adapter, m_group, m_registry, {[] {}})
    {
        m_peers.start();
        m_follower.start();
    }

    void poll()
    {
        m_context.restart();
        m_context.poll();
    }

    /// Updates the role, as the gateway does with each tick.
    void updateRole()
    {
        if (m_group.updateRole(Clock::now()) != m_role) {
            m_role = m_group.self().role;
            m_follower.wake();
        }
    }

    InstanceStatus status()
    {
        m_follower.fillStatus(m_group.self(), Clock::now());
        return m_group.self();
    }

    void receive(const InstanceStatus &status)
    {
        m_group.receiveStatus(status, Clock::now());
        m_follower.receivePeerStatus(status, Clock::now());
    }

    const detail::StoreFollower &follower() const
    {
        return m_follower;
    }
    std::uint64_t routesVersion() const
    {
        return m_registry.routes() ? m_registry.routes()->version() : 0;
    }
    /// Entry of an upstream that may receive requests or is being drained; null if there is none.
    const RegisteredUpstream *upstream(const std::string &id)
    {
        return m_registry.upstreams().find(id);
    }
    std::vector<std::string> upstreamIds()
    {
        std::vector<std::string> ids;
        for (const auto &[id, record] : m_registry.upstreams().records()) {
            ids.push_back(id);
        }
        return ids;
    }
    InstanceRole role() const
    {
        return m_group.self().role;
    }

private:
    static GatewaySettings makeSettings(const std::string &ip, const Endpoint &store)
    {
        GatewaySettings settings;
        settings.ip = ip;
        settings.zone = "palermo";
        settings.zones = {"palermo"};
        settings.store = store;
        settings.peers = {ip, PeerPort};
        return settings;
    }

    static InstanceStatus makeStatus(const std::string &ip)
    {
        static std::uint64_t incarnation = 0;
        InstanceStatus status;
        status.ip = ip;
        status.zone = "palermo";
        status.incarnation = ++incarnation;
        status.capacity = 200;
        return status;
    }

    detail::awaitable<detail::HttpResponse> answer(detail::HttpRequest request)
    {
        co_return detail::answerChanges(request, m_follower.copy());
    }

    detail::asio::io_context m_context{1};
    GatewaySettings m_settings;
    PlatformAdapter m_adapter = platform::makeAdapter();
    detail::HttpServer m_peers;
    detail::ServiceRegistry m_registry;
    InstanceGroup m_group;
    InstanceRole m_role = InstanceRole::Standby;
    detail::StoreFollower m_follower;
};

/// Instances that follow one simulated store and report their state to each other.
class StoreFleet
{
public:
    explicit StoreFleet(unsigned size)
        : m_instances(size)
    {
        for (unsigned n = 0; n < size; ++n) {
            m_storeLinks.push_back(
                std::make_unique<soak::FaultProxy>(m_context, Endpoint{address(n), StorePort}, storeAddress()));
            start(n);
        }
    }

    void start(unsigned n)
    {
        m_instances[n] = std::make_unique<FollowingInstance>(address(n), Endpoint{address(n), StorePort});
    }
    void kill(unsigned n)
    {
        m_instances[n].reset();
    }
    FollowingInstance &operator[](unsigned n)
    {
        return *m_instances[n];
    }
    soak::SimulatedStore &store()
    {
        return m_store;
    }
    void setStoreLink(unsigned n, soak::LinkFault fault)
    {
        m_storeLinks[n]->setFault(fault);
    }
    void setStoreLinks(soak::LinkFault fault)
    {
        for (auto &it : m_storeLinks) {
            it->setFault(fault);
        }
    }
    /// Stops statuses from and to an instance. Its requests to others still pass.
    void setCutOff(unsigned n, bool cutOff)
    {
        if (cutOff) {
            m_cutOff.insert(n);
        } else {
            m_cutOff.erase(n);
        }
    }

    /// A frozen instance keeps its connections and does nothing.
    void setFrozen(unsigned n, bool frozen)
    {
        if (frozen) {
            m_frozen.insert(n);
        } else {
            m_frozen.erase(n);
        }
    }

    /// The store is unavailable for a moment and returns with the copy that was kept last.
    void loseStore()
    {
        setStoreLinks(soak::LinkFault::Reset);
        runFor(Milliseconds(600));
        m_store.restoreCopy();
        setStoreLinks(soak::LinkFault::None);
    }

    void runFor(Milliseconds time)
    {
        const auto until = Clock::now() + time;
        runUntil([until] { return Clock::now() >= until; });
    }

    /// Runs until the condition holds. Returns false if it does not within 20 seconds.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto limit = Clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            if (Clock::now() > limit) {
                return false;
            }
            m_context.restart();
            m_context.poll();
            for (unsigned n = 0; n < m_instances.size(); ++n) {
                if (isRunning(n)) {
                    m_instances[n]->poll();
                }
            }
            exchangeStatuses();
            std::this_thread::sleep_for(Milliseconds(2));
        }
        return true;
    }

    /// Like runUntil(), for a condition that has to hold for each running instance.
    bool runUntilAll(const std::function<bool(FollowingInstance &)> &condition)
    {
        return runUntil([&] {
            return std::all_of(
                m_instances.begin(), m_instances.end(), [&](auto &it) { return it == nullptr || condition(*it); });
        });
    }

private:
    static constexpr std::uint16_t StorePort = 27901;
    static constexpr unsigned MaxInstances = 8;
    static constexpr Milliseconds StatusInterval{50};

    static std::string address(unsigned n)
    {
        return loopbackAddress(n);
    }
    static Endpoint storeAddress()
    {
        return {loopbackAddress(MaxInstances), StorePort};
    }

    bool isRunning(unsigned n) const
    {
        return m_instances[n] && !m_frozen.contains(n);
    }

    void exchangeStatuses()
    {
        if (Clock::now() - m_lastStatuses < StatusInterval) {
            return;
        }
        m_lastStatuses = Clock::now();
        for (unsigned n = 0; n < m_instances.size(); ++n) {
            if (!isRunning(n)) {
                continue;
            }
            m_instances[n]->updateRole();
            for (unsigned other = 0; other < m_instances.size(); ++other) {
                if (other != n && isRunning(other) && !m_cutOff.contains(n) && !m_cutOff.contains(other)) {
                    m_instances[other]->receive(m_instances[n]->status());
                }
            }
        }
    }

    detail::asio::io_context m_context{1};
    soak::SimulatedStore m_store{m_context, storeAddress()};
    std::vector<std::unique_ptr<soak::FaultProxy>> m_storeLinks;
    std::vector<std::unique_ptr<FollowingInstance>> m_instances;
    std::set<unsigned> m_cutOff;
    std::set<unsigned> m_frozen;
    TimePoint m_lastStatuses;
};

} // namespace laburnumspar
