#include "soaktest.h"

#include <boost/json.hpp>

#include <iostream>

namespace laburnumspar::soak {

namespace json = boost::json;

namespace {

/// The fleet finds itself and reads the store before callers come.
constexpr Milliseconds WarmUp{4500};
/// Calm at the end, in the last part of which requests have to be served again.
constexpr Milliseconds CalmEnd{9000};
constexpr Milliseconds MeasuredEnd{4000};
constexpr double LeastServedAtEnd = 0.9;
constexpr Milliseconds Heartbeat{500};
constexpr Milliseconds ProbeInterval{250};
/// Bound of the users for a version of the routes, and an allowance for the load of the machine.
constexpr Milliseconds VersionTime{2500};
constexpr Milliseconds StoreContactTime{3000};
constexpr Milliseconds LeaseTime{1500};
constexpr char Service[] = "work";

} // namespace

Plan::Plan(Options options)
    : m_options(std::move(options))
    , m_layout{m_options.basePort}
    , m_random(m_options.seed)
    , m_instances(m_options.program, m_options.directory, m_layout, m_promises)
    , m_store(m_context, m_layout.store())
    , m_callers(m_context, m_layout, m_instances, m_promises, m_options.seed + 1)
    , m_started(Clock::now())
{
    for (unsigned n = 0; n < m_options.instances; ++n) {
        m_storeLinks.push_back(std::make_unique<FaultProxy>(m_context, m_layout.storeProxy(n), m_layout.store()));
        m_instances.add();
    }
    for (unsigned n = 0; n < m_options.upstreams; ++n) {
        addUpstream();
    }
    publishRoutes();
}

Plan::~Plan() = default;

unsigned Plan::draw(unsigned count)
{
    return unsigned(m_random() % count);
}

Milliseconds Plan::drawTime(unsigned least, unsigned most)
{
    return Milliseconds(least + draw(most - least));
}

void Plan::log(const std::string &what)
{
    const auto ms = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_started).count();
    std::cout << ms << " ms: " << what << '\n';
}

void Plan::after(Milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code) { action(); });
}

void Plan::every(Milliseconds interval, std::function<void()> action)
{
    after(interval, [this, interval, action] {
        action();
        every(interval, action);
    });
}

void Plan::addUpstream()
{
    const auto n = unsigned(m_upstreams.size());
    auto upstream = std::make_unique<Upstream>();
    UpstreamStandIn::Identity identity{"i-" + std::to_string(n), Service, Layout::zone(n), m_layout.upstream(n)};
    upstream->server = std::make_unique<UpstreamStandIn>(m_context, std::move(identity), m_promises, m_random());
    upstream->proxy = std::make_unique<FaultProxy>(m_context, m_layout.upstreamProxy(n), m_layout.upstream(n));
    upstream->registered = true;
    m_upstreams.push_back(std::move(upstream));
}

void Plan::heartbeat()
{
    for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
        auto &it = *m_upstreams[n];
        if (it.registered) {
            m_store.put("servers/" + it.server->identity().id,
                        it.server->entry(m_layout.upstreamProxy(unsigned(n)), it.leaving, ++it.sequence));
        }
    }
}

void Plan::publishRoutes()
{
    ++m_version;
    json::array rows;
    const auto add = [&](const std::string &name, const std::string &prefix, const char *kind, unsigned attempts) {
        rows.push_back(json::array{name, "soak.example", prefix, kind, 2, 0.3, 1, Service, attempts});
    };
    add("safe", "/safe/", "safe", 2);
    add("unsafe", "/unsafe/", "unsafe", 2);
    for (std::uint64_t n = 1; n <= m_version; ++n) {
        add("v" + std::to_string(n), "/v" + std::to_string(n) + "/", "safe", 2);
    }
    const json::object config{
        {"version", "r" + std::to_string(m_version)},
        {"routes",
         {{"columns", {"name", "host", "prefix", "kind", "timeout_s", "slo_s", "priority", "service", "attempts"}},
          {"rows", std::move(rows)}}},
        {"services",
         {{"columns", {"name", "health_path", "max_conns"}}, {"rows", {json::array{Service, "/healthz", 300}}}}},
        {"limits",
         {{"max_header_bytes", 16384}, {"max_body_bytes", 65536}, {"header_timeout_s", 3}, {"idle_timeout_s", 15}}}};
    m_store.put("op/config", json::serialize(config));
    m_callers.setVersions(m_version, m_required);
    after(VersionTime, [this, version = m_version, published = Clock::now()] {
        if (isStoreCalm() && m_storeHarmed < published) {
            m_required = std::max(m_required, version);
            m_callers.setVersions(m_version, m_required);
        }
    });
}

bool Plan::isStoreCalm() const
{
    return Clock::now() - m_storeHarmed > StoreContactTime;
}

void Plan::harmStore()
{
    if (draw(5) == 0) {
        log("store forgets its history");
        m_storeHarmed = Clock::now();
        m_store.forgetHistory();
        return;
    }
    const auto fault = static_cast<LinkFault>(1 + draw(5));
    const bool all = draw(3) == 0;
    const auto first = all ? 0 : draw(m_options.instances);
    const auto last = all ? m_options.instances : first + 1;
    const auto time = drawTime(500, 4000);
    log("store link of " + (all ? std::string("all instances") : "instance " + std::to_string(first)) + " "
        + std::string(nameOf(fault)) + " for " + std::to_string(time.count()) + " ms");
    const auto mark = [this, first, last, all] {
        m_storeHarmed = all ? Clock::now() : m_storeHarmed;
        for (auto n = first; n < last; ++n) {
            m_instances.disturb(n);
        }
    };
    mark();
    for (auto n = first; n < last; ++n) {
        m_storeLinks[n]->setFault(fault);
    }
    after(time, [this, first, last, mark] {
        for (auto n = first; n < last; ++n) {
            m_storeLinks[n]->setFault(LinkFault::None);
        }
        mark();
    });
}

void Plan::harmUpstream()
{
    const auto n = draw(unsigned(m_upstreams.size()));
    const auto time = drawTime(500, 4000);
    if (draw(2) == 0) {
        const auto fault = static_cast<LinkFault>(1 + draw(5));
        log("link of upstream " + std::to_string(n) + " " + std::string(nameOf(fault)));
        m_upstreams[n]->proxy->setFault(fault);
    } else {
        const auto fault = static_cast<UpstreamFault>(1 + draw(6));
        log("upstream " + std::to_string(n) + " " + std::string(nameOf(fault)));
        m_upstreams[n]->server->setFault(fault);
    }
    after(time, [this, n] {
        m_upstreams[n]->proxy->setFault(LinkFault::None);
        m_upstreams[n]->server->setFault(UpstreamFault::None);
    });
}

void Plan::replaceUpstream()
{
    const auto n = draw(unsigned(m_upstreams.size()));
    auto &it = *m_upstreams[n];
    if (!it.registered || it.leaving || m_upstreams.size() >= 3 * m_options.upstreams) {
        return;
    }
    log("upstream " + std::to_string(n) + " leaves, another one comes");
    addUpstream();
    it.leaving = true;
    heartbeat();
    if (isStoreCalm()) {
        m_promises.leaving(it.server->identity().id, Clock::now());
    }
    after(LeaseTime, [this, n] {
        m_upstreams[n]->registered = false;
        m_store.remove("servers/" + m_upstreams[n]->server->identity().id);
    });
}

void Plan::harmInstance()
{
    const auto n = draw(m_options.instances);
    if (!m_instances.isRunning(n) || m_instances.isPaused(n) || m_instances.isStopping(n)
        || m_instances.running() <= m_options.instances / 2) {
        return;
    }
    const auto name = "instance " + std::to_string(n);
    switch (draw(4)) {
    case 0:
        log(name + " is told to stop");
        m_instances.terminate(n);
        break;
    case 1:
        log(name + " is killed");
        m_instances.kill(n);
        break;
    case 2: {
        const auto time = drawTime(300, 3000);
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

void Plan::act()
{
    if (m_healed) {
        return;
    }
    switch (draw(8)) {
    case 0:
    case 1:
        harmStore();
        break;
    case 2:
    case 3:
        harmUpstream();
        break;
    case 4:
        replaceUpstream();
        break;
    case 5:
        log("new version of the routes");
        publishRoutes();
        break;
    default:
        harmInstance();
    }
    after(drawTime(150, 900), [this] { act(); });
}

void Plan::heal()
{
    log("faults end");
    m_healed = true;
}

bool Plan::run()
{
    for (unsigned n = 0; n < m_options.instances; ++n) {
        m_instances.start(n);
    }
    heartbeat();
    every(Heartbeat, [this] { heartbeat(); });
    every(Milliseconds(50), [this] {
        m_instances.check();
        for (unsigned n = 0; n < m_options.instances; ++n) {
            if (!m_instances.isRunning(n)) {
                m_instances.start(n);
            }
        }
    });
    every(ProbeInterval, [this] { m_callers.probeVersion(draw(m_options.instances)); });
    const auto total = WarmUp + Milliseconds(m_options.seconds * 1000) + CalmEnd;
    after(WarmUp, [this] {
        m_callers.start(m_options.callers);
        act();
    });
    after(total - CalmEnd, [this] { heal(); });
    after(total - MeasuredEnd, [this] { m_promises.takeServedShare(); });
    after(total, [this] { m_context.stop(); });
    m_context.run();
    const double served = m_promises.takeServedShare();
    if (served < LeastServedAtEnd) {
        m_promises.broken("only " + std::to_string(served) + " of the requests were served after the faults");
    }
    for (const auto &it : m_promises.violations()) {
        std::cout << "BROKEN: " << it << '\n';
    }
    std::cout << "seed " << m_options.seed << ": " << m_promises.summary() << ", " << served << " served at the end\n";
    return m_promises.violations().empty();
}

} // namespace laburnumspar::soak
