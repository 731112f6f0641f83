#pragma once

#include "callers.h"
#include "latecallers.h"
#include "simulatedstore.h"
#include "simulatedupstream.h"

#include <memory>

namespace laburnumspar::soak {

/// What happens to the fleet in a test run.
enum class Scenario : std::uint8_t {
    Faults, ///< random faults
    Stops, ///< no faults; instances are stopped in turn while callers with long requests use them until they are gone
};

/// Command line options of lspar-soak.
struct Options {
    Scenario scenario = Scenario::Faults;
    std::string program; ///< path of the laburnumspar program
    std::string directory; ///< for settings and logs of the instances
    std::uint64_t seed = 1;
    unsigned seconds = 20; ///< duration of the phase with faults or stops
    double graceSeconds = 6; ///< from SIGTERM until a process must have exited
    unsigned instances = 6;
    unsigned upstreams = 6; ///< initial number
    unsigned callers = 30;
    std::uint16_t basePort = 21000;
};

/// Soak test: runs a fleet with a store, upstreams and callers through a scenario that the seed determines.
class SoakTest
{
public:
    explicit SoakTest(Options options);
    ~SoakTest();

    /// Returns true if no guarantee was violated and enough requests succeeded after the last fault.
    bool run();

private:
    struct Upstream {
        std::unique_ptr<SimulatedUpstream> server;
        std::unique_ptr<FaultProxy> proxy;
        unsigned sequence = 1; ///< of the last heartbeat
        bool registered = false;
        bool draining = false;
    };

    void addUpstream();
    /// Writes the items of all registered upstreams to the store.
    void sendHeartbeats();
    /// Publishes a new version of the routes. It adds the route /vN/, by which its activation can be checked.
    void publishRoutes();
    /// Injects a random fault or makes a random change, and schedules the next.
    void performRandomAction();
    /// Stops an instance, beside other planned work, and repeats this with the next one.
    void stopInstances();
    /// Performs other planned work while an instance stops: a second signal, or a change of the routes or upstreams.
    void disturbStop(unsigned n);
    void injectStoreFault();
    void injectUpstreamFault();
    /// Keeps a copy of the store now and then, and sometimes makes the store return to it.
    void disturbStoreHistory();
    /// Makes the store return to its copy. The routes and the entries of upstreams are written again.
    void loseStoreChanges();
    void writeRoutes();
    /// Writes an entry as another writer may, which names no usable upstream.
    void putOddEntry();
    void replaceUpstream();
    /// Stops, kills, pauses or reloads a random instance, unless too few are running.
    void disturbInstance();
    void stopFaults();
    void after(Milliseconds delay, std::function<void()> action);
    void every(Milliseconds interval, std::function<void()> action);
    unsigned randomBelow(unsigned limit);
    Milliseconds randomDuration(unsigned min, unsigned max);
    void log(const std::string &text);
    /// True if no fault of the store that affects all instances began or ended within StoreSettleTime.
    bool isStoreSettled() const;

    Options m_options;
    AddressLayout m_layout;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context{1};
    GuaranteeChecker m_checker;
    InstanceProcesses m_instances;
    SimulatedStore m_store;
    Callers m_callers;
    LateCallers m_lateCallers;
    std::vector<std::unique_ptr<FaultProxy>> m_storeProxies;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::mt19937_64 m_lossRandom; ///< apart from m_random, so that losses do not change the sequence of other faults
    unsigned m_oddEntries = 0; ///< number of odd entries written
    std::string m_routes; ///< newest version, as the store has it
    std::uint64_t m_newestVersion = 0; ///< of the routes
    std::uint64_t m_requiredVersion = 0; ///< oldest version that may still be active on settled instances
    TimePoint m_startTime;
    TimePoint m_storeDisturbedAt;
    bool m_faultsStopped = false;
    unsigned m_stops = 0; ///< number of instances that were stopped
};

} // namespace laburnumspar::soak
