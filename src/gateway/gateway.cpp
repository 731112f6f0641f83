#include "laburnumspar/gateway.h"

#include "gateway/callerserver.h"
#include "gateway/grouplink.h"
#include "gateway/statedump.h"
#include "gateway/storefollower.h"
#include "laburnumspar/log.h"
#include "net/httpserver.h"

#include <sys/resource.h>

#include <charconv>
#include <csignal>
#include <random>

namespace laburnumspar {

using namespace detail;

namespace {

constexpr Milliseconds TickInterval{100};
constexpr Milliseconds StandbyTickInterval{200};
/// Callers use an answer about addresses for this long, and some of them three times as long. A planned stop has to
/// outlast that.
constexpr Milliseconds AddressLifetime{1000};
constexpr int MostLifetimes = 3;
/// Time before the end of the grace time at which the process ends by itself.
constexpr Milliseconds StopMargin{600};
/// An instance that carries no traffic leaves as soon as the others know.
constexpr Milliseconds QuietStopTime{300};
constexpr Milliseconds LoadInterval{1000};
constexpr double LoadSmoothing = 0.4;

std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::uint64_t(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count());
}

double processSeconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return double(time.tv_sec) + double(time.tv_usec) * 1e-6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

InstanceStatus statusOf(const GatewaySettings &settings)
{
    InstanceStatus status;
    status.ip = settings.ip;
    status.zone = settings.zone;
    status.incarnation = newIncarnation();
    status.capacity = settings.capacity;
    return status;
}

} // namespace

class Gateway::Private
{
public:
    Private(GatewaySettings gatewaySettings, PlatformEdge platformEdge)
        : settings(std::move(gatewaySettings))
        , edge(std::move(platformEdge))
        , board(settings.zone, settings.bounds, std::random_device()())
        , group(statusOf(settings), {}, Clock::now())
        , forwarder(context, board, edge.headers, metrics)
        , callers(context, settings.callers, forwarder, board, edge.headers)
        , readiness(context,
                    settings.readiness,
                    {},
                    [this](HttpRequest request, CancellationPtr) { return answerReadiness(std::move(request)); })
        , addresses(context,
                    settings.addresses,
                    {},
                    [this](HttpRequest request, CancellationPtr) { return answerAddresses(std::move(request)); })
        , peers(context,
                settings.peers,
                {},
                [this](HttpRequest request, CancellationPtr) { return answerPeer(std::move(request)); })
        , link(context, settings, group, linkHooks())
        , follower(context, settings, edge, group, board, {[this] { link.announce(); }})
        , signals(context, SIGTERM, SIGINT, SIGHUP)
        , ticker(context)
    {
        openMetrics();
    }

    void start()
    {
        callers.start();
        readiness.start();
        addresses.start();
        peers.start();
        link.start();
        follower.start();
        waitForSignal();
        tick();
        logEvent(LogLevel::Info,
                 "instance.started",
                 {{"name", settings.name},
                  {"zone", settings.zone},
                  {"callers", toString(settings.callers)},
                  {"incarnation", group.self().incarnation}});
    }

    GatewaySettings settings;
    PlatformEdge edge;
    std::function<GatewaySettings()> onReload;
    asio::io_context context{1};
    MetricsRegistry metrics;
    ServiceBoard board;
    InstanceGroup group;
    Forwarder forwarder;
    CallerServer callers;
    HttpServer readiness;
    HttpServer addresses;
    HttpServer peers;
    std::optional<HttpServer> metricsServer;
    GroupLink link;
    StoreFollower follower;
    asio::signal_set signals;
    asio::steady_timer ticker;
    std::optional<TimePoint> stopRequested;
    bool carriedTraffic = false;
    double load = 0;
    double lastProcessSeconds = processSeconds();
    TimePoint lastLoadAt = Clock::now();

private:
    GroupLink::Hooks linkHooks()
    {
        GroupLink::Hooks hooks;
        hooks.fillStatus = [this](InstanceStatus &status) {
            const auto age = follower.age(Clock::now()).count();
            status.load = std::uint16_t(std::min(load, 60'000.0));
            status.storeRevision = follower.mirror().newestRevision();
            status.storeAgeMs = std::uint32_t(age);
            status.fleetStoreAgeMs = std::uint32_t(follower.newsAge(Clock::now()).count());
            status.storeDigest = follower.mirror().digest();
        };
        hooks.statusHeard = [this](const InstanceStatus &it) { follower.notePeer(it, Clock::now()); };
        hooks.observationHeard = [this](const UpstreamObservation &it) {
            board.line(it.service).pool.addRemoteObservation(it.counts, Clock::now());
        };
        hooks.takeObservations = [this] { return takeObservations(); };
        hooks.roleChanged = [this](InstanceRole before, InstanceRole after) {
            const auto now = Clock::now();
            logEvent(LogLevel::Info,
                     "instance.role",
                     {{"before", name(before)},
                      {"after", name(after)},
                      {"members", group.members(now).size()},
                      {"active", group.activeInstances(settings.zone, now).size()},
                      {"wanted", group.targetActiveCount(now)},
                      {"load", load}});
            follower.wake();
        };
        return hooks;
    }

    std::vector<UpstreamObservation> takeObservations()
    {
        std::vector<UpstreamObservation> result;
        const auto now = Clock::now();
        for (auto &[service, line] : board.lines()) {
            for (auto &it : line->pool.takeObservations(now)) {
                if (it.failures > 0) {
                    logEvent(LogLevel::Info,
                             "upstream.failing",
                             {{"upstream", it.id}, {"failures", it.failures}, {"successes", it.successes}});
                }
                result.push_back({service, std::move(it)});
            }
        }
        return result;
    }

    bool isReady() const
    {
        return !stopRequested && follower.isComplete();
    }

    awaitable<HttpResponse> answerReadiness(HttpRequest request)
    {
        const bool known = request.target() == edge.readinessTarget;
        const auto status = !known ? http::status::not_found
            : isReady()            ? http::status::ok
                                   : http::status::service_unavailable;
        co_return makeResponse(status, "text/plain", std::string(name(group.self().role)) + '\n');
    }

    awaitable<HttpResponse> answerAddresses(HttpRequest request)
    {
        const auto target = request.target();
        const auto zone = edge.decodeAddressQuestion({target.data(), target.size()});
        if (!zone) {
            co_return makeResponse(http::status::not_found, "text/plain", "unknown target\n");
        }
        std::vector<Endpoint> endpoints;
        const auto now = Clock::now();
        for (const auto &ip : group.addressesFor(*zone, now)) {
            endpoints.push_back({ip, settings.callers.port});
        }
        const auto lifetime = std::min(AddressLifetime, settings.bounds.addressLifetimeMax);
        co_return makeResponse(http::status::ok, "application/json", edge.encodeAddresses(endpoints, lifetime));
    }

    awaitable<HttpResponse> answerPeer(HttpRequest request)
    {
        constexpr std::string_view ChangesTarget = "/changes?after=";
        const std::string target(request.target());
        if (!target.starts_with(ChangesTarget)) {
            co_return makeResponse(http::status::not_found, "text/plain", "unknown target\n");
        }
        std::uint64_t after = 0;
        std::from_chars(target.data() + ChangesTarget.size(), target.data() + target.size(), after);
        const auto &mirror = follower.mirror();
        const auto bytes = encodeChanges({mirror.newestRevision(), mirror.changesAfter(after)});
        co_return makeResponse(http::status::ok, "application/octet-stream", std::string(bytes.begin(), bytes.end()));
    }

    void openMetrics()
    {
        if (!settings.metrics) {
            return;
        }
        try {
            metricsServer.emplace(
                context, *settings.metrics, HttpServer::Limits{}, [this](HttpRequest request, CancellationPtr) {
                    return answerMetrics(std::move(request));
                });
            metricsServer->start();
        } catch (const TransportError &e) {
            // The instance serves callers without its metrics.
            logEvent(LogLevel::Error, "metrics.unavailable", {{"error", e.what()}});
        }
    }

    awaitable<HttpResponse> answerMetrics(HttpRequest request)
    {
        if (request.target() == "/dump") {
            co_return makeResponse(
                http::status::ok, "application/json", dumpState(group, board, follower, Clock::now()) + '\n');
        }
        if (request.target() != "/metrics") {
            co_return makeResponse(http::status::not_found, "text/plain", "unknown target\n");
        }
        metrics.gauge("lspar_connections_opened").set(double(forwarder.links().opened()));
        metrics.gauge("lspar_store_calls").set(double(follower.storeCalls()));
        metrics.gauge("lspar_requests_in_flight").set(double(forwarder.inFlight()));
        co_return makeResponse(http::status::ok, "text/plain; version=0.0.4", metrics.prometheus());
    }

    void waitForSignal()
    {
        signals.async_wait([this](error_code ec, int signal) {
            if (ec) {
                return;
            }
            signal == SIGHUP ? reload() : stop();
            waitForSignal();
        });
    }

    void reload()
    {
        try {
            const auto fresh = onReload();
            setLogLevel(fresh.logLevel);
            settings.seeds = fresh.seeds;
            settings.bounds = fresh.bounds;
            logEvent(LogLevel::Info, "settings.reloaded", {{"seeds", settings.seeds.size()}});
        } catch (const Error &e) {
            logEvent(LogLevel::Error, "settings.reload-failed", {{"error", e.what()}});
        }
    }

    void stop()
    {
        if (stopRequested) {
            return;
        }
        const auto now = Clock::now();
        stopRequested = now;
        carriedTraffic = group.self().role == InstanceRole::Active || callers.connections() > 0;
        logEvent(LogLevel::Info,
                 "instance.stopping",
                 {{"role", name(group.self().role)}, {"connections", callers.connections()}});
        group.leave();
        link.announce();
        callers.startClosing();
    }

    void tick()
    {
        const auto now = Clock::now();
        measureLoad(now);
        link.tick(now);
        forwarder.tick(now);
        flushLog();
        if (stopRequested && now - *stopRequested >= MostLifetimes * AddressLifetime) {
            // A request that comes so late might not be answered before the process has to end.
            callers.refuseRequests();
        }
        if (stopRequested && mayEnd(now)) {
            end();
            return;
        }
        const bool standby = group.self().role == InstanceRole::Standby && forwarder.inFlight() == 0;
        ticker.expires_after(standby ? StandbyTickInterval : TickInterval);
        ticker.async_wait([this](error_code ec) {
            if (!ec) {
                tick();
            }
        });
    }

    void measureLoad(TimePoint now)
    {
        const double elapsed = std::chrono::duration<double>(now - lastLoadAt).count();
        if (now - lastLoadAt < LoadInterval) {
            return;
        }
        const double seconds = processSeconds();
        const double used = 1000 * (seconds - lastProcessSeconds) / elapsed;
        // The others get too few requests to need a reserve, but are so many that theirs would add up.
        const bool active = group.self().role == InstanceRole::Active;
        board.shareBudget(active ? std::optional(group.activeInstances("", now).size()) : std::nullopt);
        load += LoadSmoothing * (used - load);
        lastProcessSeconds = seconds;
        lastLoadAt = now;
    }

    bool mayEnd(TimePoint now) const
    {
        const auto elapsed = now - *stopRequested;
        if (elapsed >= settings.bounds.graceTime - StopMargin) {
            return true;
        }
        const auto least = carriedTraffic ? MostLifetimes * AddressLifetime : QuietStopTime;
        return elapsed >= least && callers.busy() == 0 && forwarder.inFlight() == 0;
    }

    void end()
    {
        logEvent(LogLevel::Info,
                 "instance.stopped",
                 {{"in_flight", forwarder.inFlight()}, {"connections", callers.connections()}});
        callers.close();
        context.stop();
    }
};

Gateway::Gateway(GatewaySettings settings, PlatformEdge edge)
    : m_d(std::make_unique<Private>(std::move(settings), std::move(edge)))
{
}

Gateway::~Gateway() = default;

void Gateway::run(std::function<GatewaySettings()> onReload)
{
    m_d->onReload = std::move(onReload);
    m_d->start();
    m_d->context.run();
}

} // namespace laburnumspar
