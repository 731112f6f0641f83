#include "soaktest.h"

#include <boost/json.hpp>

#include <cmath>
#include <iostream>

namespace laburnumspar::soak {

namespace json = boost::json;

namespace {

/// Time in which the instances discover each other and read the store before the first request.
constexpr Milliseconds WarmUpTime{4500};
/// Duration of the phase without faults at the end.
constexpr Milliseconds RecoveryTime{9000};
/// Last part of RecoveryTime, in which the success rate is measured.
constexpr Milliseconds MeasuredRecoveryTime{4000};
/// Required success rate in MeasuredRecoveryTime.
constexpr double MinSuccessRateAfterFaults = 0.9;
constexpr Milliseconds HeartbeatInterval{500};
/// Time after which the store removes entries that no upstream renews.
constexpr Milliseconds EntryLease = 3 * HeartbeatInterval;
constexpr Milliseconds ProbeInterval{250};
/// Required time in which a new version of the routes becomes active, including a tolerance for the load of the
/// machine.
constexpr Milliseconds RouteUpdateTimeout{2500};
/// Time after a store fault that affects all instances in which they may still use outdated state.
constexpr Milliseconds StoreSettleTime{3000};
/// Time for which a draining upstream keeps its item in the store.
constexpr Milliseconds DrainingItemLifetime{1500};
/// Interval at which the store may keep a copy or return to it.
constexpr Milliseconds HistoryInterval{1000};
/// Pause between the end of the grace period of a stop and the next one that does not overlap it.
constexpr Milliseconds StopInterval{1500};
/// Long enough for requests that outlast the grace period.
constexpr double StopRouteTimeoutSeconds = 5;
constexpr double RouteTimeoutSeconds = 2;
constexpr char Service[] = "work";

Milliseconds gracePeriod(const Options &options)
{
    return Milliseconds(std::llround(options.graceSeconds * 1000));
}

} // namespace

SoakTest::SoakTest(Options options)
    : m_options(std::move(options))
    , m_layout{m_options.basePort}
    , m_random(m_options.seed)
    , m_instances(m_options.program, m_options.directory, m_layout, gracePeriod(m_options), m_checker)
    , m_store(m_context, m_layout.store())
    , m_callers(m_context, m_layout, m_instances, m_checker, m_options.seed + 1)
    , m_lateCallers(m_context, m_layout, m_instances, m_checker, m_options.seed + 2)
    , m_lossRandom(m_options.seed)
    , m_startTime(Clock::now())
{
    for (unsigned n = 0; n < m_options.instances; ++n) {
        m_storeProxies.push_back(std::make_unique<FaultProxy>(m_context, m_layout.storeProxy(n), m_layout.store()));
        m_instances.add();
    }
    for (unsigned n = 0; n < m_options.upstreams; ++n) {
        addUpstream();
    }
    publishRoutes();
}

SoakTest::~SoakTest() = default;

unsigned SoakTest::randomBelow(unsigned limit)
{
    return unsigned(m_random() % limit);
}

Milliseconds SoakTest::randomDuration(unsigned min, unsigned max)
{
    return Milliseconds(min + randomBelow(max - min));
}

void SoakTest::log(const std::string &text)
{
    const auto ms = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startTime).count();
    std::cout << ms << " ms: " << text << '\n';
}

void SoakTest::after(Milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code) { action(); });
}

void SoakTest::every(Milliseconds interval, std::function<void()> action)
{
    after(interval, [this, interval, action] {
        action();
        every(interval, action);
    });
}

void SoakTest::addUpstream()
{
    const auto n = unsigned(m_upstreams.size());
    auto upstream = std::make_unique<Upstream>();
    SimulatedUpstream::Identity identity{
        "i-" + std::to_string(n), Service, AddressLayout::zone(n), m_layout.upstream(n)};
    upstream->server = std::make_unique<SimulatedUpstream>(m_context, std::move(identity), m_checker, m_random());
    upstream->proxy = std::make_unique<FaultProxy>(m_context, m_layout.upstreamProxy(n), m_layout.upstream(n));
    upstream->registered = true;
    m_upstreams.push_back(std::move(upstream));
}

void SoakTest::sendHeartbeats()
{
    for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
        auto &it = *m_upstreams[n];
        if (it.registered) {
            m_store.put("servers/" + it.server->identity().id,
                        it.server->storeEntry(m_layout.upstreamProxy(unsigned(n)), it.draining, ++it.sequence));
        }
    }
}

void SoakTest::publishRoutes()
{
    ++m_newestVersion;
    json::array rows;
    const double timeout = m_options.scenario == Scenario::Stops ? StopRouteTimeoutSeconds : RouteTimeoutSeconds;
    const auto add = [&](const std::string &name, const std::string &prefix, const char *kind, unsigned attempts) {
        rows.push_back(json::array{name, "soak.example", prefix, kind, timeout, 0.3, 1, Service, attempts});
    };
    add("safe", "/safe/", "safe", 2);
    add("unsafe", "/unsafe/", "unsafe", 2);
    for (std::uint64_t n = 1; n <= m_newestVersion; ++n) {
        add("v" + std::to_string(n), "/v" + std::to_string(n) + "/", "safe", 2);
    }
    const json::object config{
        {"version", "r" + std::to_string(m_newestVersion)},
        {"routes",
         {{"columns", {"name", "host", "prefix", "kind", "timeout_s", "slo_s", "priority", "service", "attempts"}},
          {"rows", std::move(rows)}}},
        {"services",
         {{"columns", {"name", "health_path", "max_conns"}}, {"rows", {json::array{Service, "/healthz", 300}}}}},
        {"limits",
         {{"max_header_bytes", 16384}, {"max_body_bytes", 65536}, {"header_timeout_s", 3}, {"idle_timeout_s", 15}}}};
    m_routes = json::serialize(config);
    writeRoutes();
    m_callers.setRouteVersions(m_newestVersion, m_requiredVersion);
    after(RouteUpdateTimeout, [this, version = m_newestVersion, published = Clock::now()] {
        if (isStoreSettled() && m_storeDisturbedAt < published) {
            m_requiredVersion = std::max(m_requiredVersion, version);
            m_callers.setRouteVersions(m_newestVersion, m_requiredVersion);
        }
    });
}

void SoakTest::writeRoutes()
{
    m_store.put("op/config", m_routes);
}

void SoakTest::putOddEntry()
{
    constexpr std::size_t Levels = 10'000;
    const std::vector<std::string> values{
        std::string(Levels, '['),
        R"({"service":"work","addr":"127.0.0.1:1","zone":"a","slots":1e400,"state":"ready"})",
        R"({"service":"work","addr":"127.0.0.1:65536","zone":"a","slots":6,"state":"ready"})",
        R"({"service":"work","addr":"127.0.0.1:0","zone":"a","slots":6,"state":"ready"})",
        R"({"service":["work"],"addr":7,"state":null})",
        "\xff"};
    const std::vector<std::string> keys{"servers/odd", "servers/odd one", "servers/odd\r\nX-Odd: 1"};
    const auto n = m_oddEntries++;
    m_store.put(keys[n % keys.size()], values[n % values.size()]);
}

void SoakTest::disturbStoreHistory()
{
    const auto choice = m_lossRandom() % 8;
    if (m_faultsStopped) {
        return;
    }
    if (choice < 3) {
        m_store.keepCopy();
    } else if (choice == 3) {
        loseStoreChanges();
    }
}

void SoakTest::loseStoreChanges()
{
    log("store returns from an older copy");
    m_storeDisturbedAt = Clock::now();
    m_store.restoreCopy();
    const Milliseconds delay(m_lossRandom() % 1000);
    after(delay, [this] {
        m_storeDisturbedAt = Clock::now();
        writeRoutes();
    });
    after(EntryLease, [this] {
        for (const auto &it : m_upstreams) {
            if (!it->registered) {
                m_store.remove("servers/" + it->server->identity().id);
            }
        }
    });
}

bool SoakTest::isStoreSettled() const
{
    return Clock::now() - m_storeDisturbedAt > StoreSettleTime;
}

void SoakTest::injectStoreFault()
{
    if (randomBelow(5) == 0) {
        log("store discards its history");
        m_storeDisturbedAt = Clock::now();
        m_store.discardHistory();
        return;
    }
    const auto fault = static_cast<LinkFault>(1 + randomBelow(5));
    const bool all = randomBelow(3) == 0;
    const auto first = all ? 0 : randomBelow(m_options.instances);
    const auto last = all ? m_options.instances : first + 1;
    const auto time = randomDuration(500, 4000);
    log("fault on the store link of " + (all ? std::string("all instances") : "instance " + std::to_string(first))
        + ": " + std::string(nameOf(fault)) + " for " + std::to_string(time.count()) + " ms");
    const auto markDisturbed = [this, first, last, all] {
        m_storeDisturbedAt = all ? Clock::now() : m_storeDisturbedAt;
        for (auto n = first; n < last; ++n) {
            m_instances.markDisturbed(n);
        }
    };
    markDisturbed();
    for (auto n = first; n < last; ++n) {
        m_storeProxies[n]->setFault(fault);
    }
    after(time, [this, first, last, markDisturbed] {
        for (auto n = first; n < last; ++n) {
            m_storeProxies[n]->setFault(LinkFault::None);
        }
        markDisturbed();
    });
}

void SoakTest::injectUpstreamFault()
{
    const auto n = randomBelow(unsigned(m_upstreams.size()));
    const auto time = randomDuration(500, 4000);
    if (randomBelow(2) == 0) {
        const auto fault = static_cast<LinkFault>(1 + randomBelow(5));
        log("fault on the link of upstream " + std::to_string(n) + ": " + std::string(nameOf(fault)));
        m_upstreams[n]->proxy->setFault(fault);
    } else {
        const auto fault = static_cast<UpstreamFault>(1 + randomBelow(6));
        log("fault of upstream " + std::to_string(n) + ": " + std::string(nameOf(fault)));
        m_upstreams[n]->server->setFault(fault);
    }
    after(time, [this, n] {
        m_upstreams[n]->proxy->setFault(LinkFault::None);
        m_upstreams[n]->server->setFault(UpstreamFault::None);
    });
}

void SoakTest::replaceUpstream()
{
    const auto n = randomBelow(unsigned(m_upstreams.size()));
    auto &it = *m_upstreams[n];
    if (!it.registered || it.draining || m_upstreams.size() >= 3 * m_options.upstreams) {
        return;
    }
    log("upstream " + std::to_string(n) + " starts draining and is replaced");
    addUpstream();
    it.draining = true;
    sendHeartbeats();
    if (isStoreSettled()) {
        m_checker.recordDraining(it.server->identity().id, Clock::now());
    }
    after(DrainingItemLifetime, [this, n] {
        m_upstreams[n]->registered = false;
        m_store.remove("servers/" + m_upstreams[n]->server->identity().id);
    });
}

void SoakTest::disturbInstance()
{
    const auto n = randomBelow(m_options.instances);
    if (!m_instances.isRunning(n) || m_instances.isPaused(n) || m_instances.isStopping(n)
        || m_instances.running() <= m_options.instances / 2) {
        return;
    }
    const auto name = "instance " + std::to_string(n);
    switch (randomBelow(4)) {
    case 0:
        log(name + " receives SIGTERM");
        m_instances.terminate(n);
        break;
    case 1:
        log(name + " is killed");
        m_instances.kill(n);
        break;
    case 2: {
        const auto time = randomDuration(300, 3000);
        log(name + " is paused for " + std::to_string(time.count()) + " ms");
        m_instances.pause(n);
        after(time, [this, n] { m_instances.resume(n); });
        break;
    }
    default:
        log(name + " reloads its settings");
        m_instances.reload(n);
    }
}

void SoakTest::performRandomAction()
{
    if (m_faultsStopped) {
        return;
    }
    switch (randomBelow(8)) {
    case 0:
    case 1:
        injectStoreFault();
        break;
    case 2:
    case 3:
        injectUpstreamFault();
        break;
    case 4:
        replaceUpstream();
        break;
    case 5:
        log("new version of the routes");
        publishRoutes();
        break;
    default:
        disturbInstance();
    }
    after(randomDuration(150, 900), [this] { performRandomAction(); });
}

void SoakTest::stopInstances()
{
    if (m_faultsStopped) {
        return;
    }
    const auto n = m_stops++ % m_options.instances;
    if (!m_instances.isRunning(n) || m_instances.isStopping(n)) {
        after(StopInterval, [this] { stopInstances(); });
        return;
    }
    log("instance " + std::to_string(n) + " receives SIGTERM in calm");
    m_instances.terminate(n);
    m_lateCallers.useUntilGone(n);
    const auto left = unsigned(m_instances.gracePeriod().count());
    for (auto count = randomBelow(3); count > 0; --count) {
        after(randomDuration(0, left), [this, n] { disturbStop(n); });
    }
    // A third of the stops overlap the next one.
    const bool overlapping = randomBelow(3) == 0;
    after(overlapping ? randomDuration(0, left) : m_instances.gracePeriod() + StopInterval,
          [this] { stopInstances(); });
}

void SoakTest::disturbStop(unsigned n)
{
    if (m_faultsStopped || !m_instances.isStopping(n)) {
        return;
    }
    switch (randomBelow(4)) {
    case 0:
        log("instance " + std::to_string(n) + " receives another SIGTERM");
        m_instances.terminate(n);
        break;
    case 1:
        log("instance " + std::to_string(n) + " reloads its settings");
        m_instances.reload(n);
        break;
    case 2:
        log("new version of the routes");
        publishRoutes();
        break;
    default:
        replaceUpstream();
    }
}

void SoakTest::stopFaults()
{
    log("no more faults are injected");
    m_faultsStopped = true;
}

bool SoakTest::run()
{
    for (unsigned n = 0; n < m_options.instances; ++n) {
        m_instances.start(n);
    }
    sendHeartbeats();
    every(HeartbeatInterval, [this] { sendHeartbeats(); });
    every(Milliseconds(50), [this] {
        m_instances.checkProcesses();
        for (unsigned n = 0; n < m_options.instances; ++n) {
            if (!m_instances.isRunning(n)) {
                m_instances.start(n);
            }
        }
    });
    const bool stops = m_options.scenario == Scenario::Stops;
    if (!stops) {
        m_store.keepCopy();
        every(HistoryInterval, [this] {
            putOddEntry();
            disturbStoreHistory();
        });
    }
    every(ProbeInterval, [this] { m_callers.probeVersion(randomBelow(m_options.instances)); });
    const auto total = WarmUpTime + Milliseconds(m_options.seconds * 1000) + RecoveryTime;
    after(WarmUpTime, [this, stops] {
        m_callers.start(m_options.callers);
        stops ? stopInstances() : performRandomAction();
    });
    after(total - RecoveryTime, [this] { stopFaults(); });
    after(total - MeasuredRecoveryTime, [this] { m_checker.takeSuccessRate(); });
    after(total, [this] { m_context.stop(); });
    m_context.run();
    const double successRate = m_checker.takeSuccessRate();
    if (successRate < MinSuccessRateAfterFaults) {
        m_checker.recordViolation("only " + std::to_string(successRate)
                                  + " of the requests succeeded after the faults");
    }
    for (const auto &it : m_checker.violations()) {
        std::cout << "BROKEN: " << it << '\n';
    }
    std::cout << "seed " << m_options.seed << ": " << m_checker.summary() << ", " << successRate
              << " of the requests successful after the faults\n";
    return m_checker.violations().empty();
}

} // namespace laburnumspar::soak
