#pragma once

#include "laburnumspar/membership.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace laburnumspar {

/// Simulated fleet: Membership objects that exchange datagrams in memory and run on a virtual clock.
class MembershipNet
{
public:
    struct Node {
        InstanceId id;
        std::unique_ptr<Membership> membership;
        Milliseconds nextTick{0};
        bool running = true;
        bool paused = false; ///< datagrams are queued, as in a socket buffer
        std::deque<std::pair<InstanceId, std::vector<std::uint8_t>>> inbox;
        std::uint64_t bytes = 0; ///< sent and received
    };
    /// Returns whether a datagram from one node to another is lost.
    using Loss = std::function<bool(std::size_t from, std::size_t to)>;

    explicit MembershipNet(std::size_t size, std::uint64_t seed = 1)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < size; ++n) {
            addNode();
        }
    }

    static InstanceId address(std::size_t n)
    {
        return {"10.0." + std::to_string(n / 250) + '.' + std::to_string(n % 250 + 1), 7000};
    }

    /// Adds and starts a node; returns its index. The first two nodes are the seeds.
    std::size_t addNode()
    {
        const auto n = m_nodes.size();
        m_nodes.push_back({address(n), nullptr, {}, true, false, {}, 0});
        m_index[address(n)] = n;
        start(n);
        return n;
    }

    /// Starts a new process at the address of the node; the state of the previous one is lost. An incarnation of 0
    /// selects the current time.
    void start(std::size_t n, std::uint64_t incarnation = 0)
    {
        auto &node = m_nodes[n];
        const char *const zones[] = {"palermo", "catania", "messina"};
        node.membership = std::make_unique<Membership>(
            Membership::Builder()
                .self(node.id)
                .zone(zones[n % 3])
                .callerAddress({node.id.ip, 8000})
                .incarnation(incarnation != 0 ? incarnation
                                              : 1'700'000'000'000 + static_cast<std::uint64_t>(m_time.count()))
                .seeds({address(0), address(1)})
                .randomSeed(m_random())
                .build());
        node.nextTick = m_time + Milliseconds(m_random() % 250);
        node.running = true;
        node.paused = false;
        node.inbox.clear();
    }

    Node &operator[](std::size_t n)
    {
        return m_nodes[n];
    }
    Membership &at(std::size_t n)
    {
        return *m_nodes[n].membership;
    }
    std::size_t size() const
    {
        return m_nodes.size();
    }
    TimePoint now() const
    {
        return TimePoint(std::chrono::hours(1)) + m_time;
    }
    void setLoss(Loss loss)
    {
        m_loss = std::move(loss);
    }

    /// Runs in steps of 10 ms. `each` is called after each step and ends the run if it returns true; returns whether it
    /// did.
    bool run(Milliseconds duration, const std::function<bool()> &each = {})
    {
        for (const auto end = m_time + duration; m_time < end;) {
            m_time += Milliseconds(10);
            step();
            if (each && each()) {
                return true;
            }
        }
        return false;
    }

    MemberState state(std::size_t observer, std::size_t member) const
    {
        const auto view = m_nodes[observer].membership->member(m_nodes[member].id, now());
        return view ? view->state : MemberState::Dead;
    }
    /// Number of running nodes other than the member itself that see it in state `wanted`.
    std::size_t countObservers(std::size_t member, MemberState wanted) const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            count += n != member && m_nodes[n].running && state(n, member) == wanted ? 1 : 0;
        }
        return count;
    }

private:
    void step()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            auto &node = m_nodes[n];
            if (!node.running || node.paused) {
                continue;
            }
            for (; !node.inbox.empty(); node.inbox.pop_front()) {
                const auto message = decode(node.inbox.front().second);
                const auto &heartbeat = std::get<Heartbeat>(message.message);
                node.membership->receive(message.envelope, heartbeat, node.inbox.front().first, now());
            }
            if (node.nextTick <= m_time) {
                node.nextTick = m_time + Milliseconds(245 + m_random() % 10);
                send(n);
            }
        }
    }

    void send(std::size_t n)
    {
        for (auto &datagram : m_nodes[n].membership->tick(now())) {
            m_nodes[n].bytes += datagram.bytes.size();
            const auto to = m_index.find(datagram.to);
            if (to == m_index.end() || !m_nodes[to->second].running || (m_loss && m_loss(n, to->second))) {
                continue;
            }
            m_nodes[to->second].bytes += datagram.bytes.size();
            m_nodes[to->second].inbox.emplace_back(m_nodes[n].id, std::move(datagram.bytes));
        }
    }

    std::vector<Node> m_nodes;
    std::map<InstanceId, std::size_t> m_index;
    std::mt19937_64 m_random;
    Milliseconds m_time{0};
    Loss m_loss;
};

} // namespace laburnumspar
