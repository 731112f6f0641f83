#pragma once

#include "callers.h"
#include "simulatedstore.h"
#include "simulatedupstream.h"

#include <memory>

namespace laburnumspar::soak {

struct Options {
    std::string program;
    std::string directory;
    std::uint64_t seed = 1;
    unsigned seconds = 20;
    unsigned instances = 6;
    unsigned upstreams = 6;
    unsigned callers = 30;
    std::uint16_t basePort = 21000;
};

/// One run: a fleet with a store, upstreams and callers, harmed by faults that the seed draws.
class Plan
{
public:
    explicit Plan(Options options);
    ~Plan();

    /// True if all promises were kept and the fleet served again after the last fault.
    bool run();

private:
    struct Upstream {
        std::unique_ptr<UpstreamStandIn> server;
        std::unique_ptr<FaultProxy> proxy;
        unsigned sequence = 1;
        bool registered = false;
        bool leaving = false;
    };

    void addUpstream();
    void heartbeat();
    void publishRoutes();
    void act();
    void harmStore();
    void harmUpstream();
    void replaceUpstream();
    void harmInstance();
    void heal();
    void after(Milliseconds delay, std::function<void()> action);
    void every(Milliseconds interval, std::function<void()> action);
    unsigned draw(unsigned count);
    Milliseconds drawTime(unsigned least, unsigned most);
    void log(const std::string &what);
    bool isStoreCalm() const;

    Options m_options;
    Layout m_layout;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context{1};
    Promises m_promises;
    Instances m_instances;
    StoreStandIn m_store;
    Callers m_callers;
    std::vector<std::unique_ptr<FaultProxy>> m_storeLinks;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::uint64_t m_version = 0;
    std::uint64_t m_required = 0;
    TimePoint m_started;
    TimePoint m_storeHarmed;
    bool m_healed = false;
};

} // namespace laburnumspar::soak
