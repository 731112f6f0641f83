#include "lspar-soak/faultproxy.h"
#include "storefleet.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

/// Time after which an instance that runs and has its links counts as in touch with the store.
constexpr Milliseconds ContactTime{3000};
/// Time in which a change has to be in force where the store can be reached, directly or through another instance.
constexpr Milliseconds ChangeTime{2000};
constexpr unsigned LastSeed = 3;

std::string makeConfig(std::uint64_t version)
{
    return R"({"version":"r)" + std::to_string(version)
        + R"(","routes":{"columns":["name","host","prefix","kind","timeout_s","slo_s","priority","service","attempts"],
        "rows":[["look","a.example","/look/","safe",4,0.5,2,"s1",2]]},"services":{"columns":["name","health_path",
        "max_conns"],"rows":[["s1","/healthz",360]]}})";
}

std::string makeEntry(const std::string &id, const std::string &state)
{
    return R"({"service":"s1","addr":"127.0.0.9:)" + id.substr(2)
        + R"(","zone":"palermo","version":"1","slots":6,"warmup_left_s":0,"seq":1,"state":")" + state
        + R"(","born":1000})";
}

/// Why an instance has missed changes.
enum class Absence : std::uint8_t {
    Frozen,
    CutOff, ///< from the store and from all other instances
    Refused, ///< by the store only: it has to learn of the changes from the others
};

/// An instance misses changes for longer than the history of the store. When it is back, another one starts anew, which
/// may not reach the store and then pulls its state from either peer.
class Scenario
{
public:
    explicit Scenario(unsigned seed)
        : m_random(seed)
        , m_absence(static_cast<Absence>(seed % 3))
    {
        for (const char *id : {"i-11", "i-12", "i-13"}) {
            m_fleet.store().put(key(id), makeEntry(id, "ready"));
        }
        m_fleet.store().put("op/config", makeConfig(1));
        BOOST_REQUIRE(m_fleet.runUntilAll([](auto &it) { return it.routesVersion() == 1 && it.upstream("i-13"); }));
        m_fleet.runFor(Milliseconds(m_random() % 500));
    }

    void run()
    {
        setAbsent(true);
        m_fleet.runFor(Milliseconds(m_random() % 300));
        m_fleet.store().put(key("i-11"), makeEntry("i-11", "draining"));
        m_fleet.store().remove(key("i-12"));
        m_fleet.store().put("op/config", makeConfig(2));
        m_fleet.runFor(ChangeTime);
        BOOST_TEST(!isStale(Fresh));
        BOOST_TEST(!isStale(Restarted));
        m_fleet.store().discardHistory();
        m_fleet.store().put(key("i-13"), makeEntry("i-13", "ready"));
        m_fleet.runFor(Milliseconds(m_random() % 1000));

        BOOST_TEST(isStale(Absent) == (m_absence != Absence::Refused));

        m_fleet.kill(Restarted);
        const bool storeReached = m_random() % 2 == 0;
        m_fleet.setStoreLink(Restarted, storeReached ? soak::LinkFault::None : soak::LinkFault::Reset);
        setAbsent(false);
        m_fleet.runFor(Milliseconds(m_random() % 100));
        m_fleet.start(Restarted);
        // The instance that has missed nothing must not take anything back from the others meanwhile.
        const auto until = Clock::now() + ContactTime;
        bool regressed = false;
        m_fleet.runUntil([&] {
            regressed = regressed || isStale(Fresh);
            return Clock::now() > until;
        });
        BOOST_TEST(!regressed);
        BOOST_TEST(!isStale(Absent));
        BOOST_TEST(!isStale(Restarted));
        m_fleet.store().put("op/config", makeConfig(3));
        BOOST_TEST(m_fleet.runUntilAll([](auto &it) { return it.routesVersion() == 3; }));
    }

private:
    static constexpr unsigned Absent = 0;
    static constexpr unsigned Fresh = 1;
    static constexpr unsigned Restarted = 2;

    static std::string key(const std::string &id)
    {
        return "servers/" + id;
    }

    void setAbsent(bool absent)
    {
        if (m_absence == Absence::Frozen) {
            m_fleet.setFrozen(Absent, absent);
            return;
        }
        const auto fault = m_absence == Absence::CutOff ? soak::LinkFault::Blackhole : soak::LinkFault::Refuse;
        m_fleet.setCutOff(Absent, absent && m_absence == Absence::CutOff);
        m_fleet.setStoreLink(Absent, absent ? fault : soak::LinkFault::None);
    }

    /// Whether the instance uses an upstream that has left, or an older configuration.
    bool isStale(unsigned n)
    {
        auto &instance = m_fleet[n];
        const auto *draining = instance.upstream("i-11");
        return instance.routesVersion() < 2 || instance.upstream("i-12") != nullptr
            || (draining && draining->phase == UpstreamPhase::Serving) || instance.upstream("i-13") == nullptr;
    }

    std::mt19937 m_random;
    Absence m_absence;
    StoreFleet m_fleet{3};
};

} // namespace

// Guards against upstreams that have left, and configurations that are withdrawn, which are used again after a restart
// because they come from an instance that was frozen, cut off or behind for longer than the history of the store.
// Arguments after "--": the last seed.
BOOST_AUTO_TEST_CASE(staleInstancesBringNothingBack)
{
    const auto &arguments = boost::unit_test::framework::master_test_suite();
    const unsigned last = arguments.argc > 1 ? unsigned(std::stoul(arguments.argv[1])) : LastSeed;
    for (unsigned seed = 1; seed <= last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Scenario(seed).run();
        }
    }
}
