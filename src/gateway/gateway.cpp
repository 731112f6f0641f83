#include "laburnumspar/gateway.h"

#include "gateway/callerserver.h"
#include "gateway/changesreply.h"
#include "gateway/grouplink.h"
#include "gateway/instancegauges.h"
#include "gateway/loopmonitor.h"
#include "gateway/statedump.h"
#include "gateway/stopschedule.h"
#include "gateway/storefollower.h"
#include "laburnumspar/log.h"
#include "laburnumspar/upstreamassignment.h"
#include "net/httpserver.h"
#include "net/signaltime.h"

#include <sys/resource.h>

#include <cmath>
#include <csignal>
#include <random>

namespace laburnumspar {

using namespace detail;

namespace {

constexpr Milliseconds TickInterval{100};
constexpr Milliseconds StandbyTickInterval{200};
/// Interval at which a stopping instance checks whether it may exit, and shortest time for the final answers.
constexpr Milliseconds StopCheckInterval{20};
constexpr Milliseconds MinAnswerTime{100};
/// Minimum time from the stop signal to the exit of an instance without traffic, so that the others learn that it
/// leaves.
constexpr Milliseconds IdleStopTime{300};
/// Interval at which the CPU load is measured.
constexpr Milliseconds LoadInterval{1000};
/// Weight of the newest value in the exponential moving average of the load.
constexpr double LoadSmoothing = 0.4;
/// Part of the memory that may hold bodies of requests and answers. The rest is for tables, connections and what the
/// allocator has not returned to the system yet.
constexpr double BodyMemoryShare = 0.625;

std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::uint64_t(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count());
}

/// CPU time that the process has used, in seconds.
double processCpuSeconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return double(time.tv_sec) + double(time.tv_usec) * 1e-6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

InstanceStatus initialStatus(const GatewaySettings &settings)
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
    Private(GatewaySettings gatewaySettings, PlatformAdapter platformAdapter)
        : settings(std::move(gatewaySettings))
        , adapter(std::move(platformAdapter))
        , memory(std::size_t(double(settings.memoryBytes) * BodyMemoryShare))
        , serviceRegistry(settings.zone, settings.bounds, std::random_device()())
        , group(initialStatus(settings), {}, Clock::now())
        , assignment(settings.ip)
        , quotas(settings.ip, settings.bounds.quota, Clock::now())
        , forwarder(context, serviceRegistry, quotas, adapter.headers, metrics, memory)
        , callers(context, settings.callers, forwarder, serviceRegistry, adapter.headers, memory)
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
        , monitor(metrics)
        , follower(context, settings, adapter, group, serviceRegistry, followerHooks())
        , signals(context, SIGTERM, SIGINT, SIGHUP)
        , stopSignalTime({SIGTERM, SIGINT})
        , ticker(context)
        , stopTimer(context)
    {
        serviceRegistry.setExplorer([this](const RegisteredUpstream &it) { return assignment.isExplorer(it); });
        serviceRegistry.setRateShare([this](const RegisteredUpstream &it) { return assignment.rateShare(it); });
        openMetrics();
        returnLargeBlocksWhenFreed();
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
        ticker.expires_at(Clock::now());
        tick();
        logEvent(LogLevel::Info,
                 "instance.started",
                 {{"name", settings.name},
                  {"zone", settings.zone},
                  {"callers", toString(settings.callers)},
                  {"incarnation", group.self().incarnation}});
    }

    GatewaySettings settings;
    PlatformAdapter adapter;
    std::function<GatewaySettings()> onReload;
    MemoryBudget memory; ///< outlives the handlers in the context
    asio::io_context context{1};
    MetricsRegistry metrics;
    ServiceRegistry serviceRegistry;
    InstanceGroup group;
    UpstreamAssignment assignment;
    QuotaLedger quotas;
    Forwarder forwarder;
    CallerServer callers;
    HttpServer readiness;
    HttpServer addresses;
    HttpServer peers;
    std::optional<HttpServer> metricsServer;
    GroupLink link;
    LoopMonitor monitor;
    StoreFollower follower;
    ChangesReplies changesReplies;
    asio::signal_set signals;
    SignalTime stopSignalTime;
    asio::steady_timer ticker;
    asio::steady_timer stopTimer;
    PauseDetector pauses{Clock::now()};
    std::optional<StopSchedule> schedule; ///< set by the signal to stop
    bool finishing = false; ///< no connections are accepted any more
    std::optional<TimePoint> endedAt; ///< when all requests got a final answer
    bool hadTraffic = false; ///< whether the instance was active or had callers when the stop was requested
    double load = 0; ///< smoothed CPU usage, in thousandths of a core
    double lastCpuSeconds = processCpuSeconds();
    TimePoint lastLoadAt = Clock::now();
    Clock::duration lastWorkerTime{};

private:
    GroupLink::Hooks linkHooks()
    {
        GroupLink::Hooks hooks;
        hooks.fillStatus = [this](InstanceStatus &status) {
            const auto now = Clock::now();
            status.load = std::uint16_t(std::min(load, 60'000.0));
            status.requestRate = std::uint16_t(std::min(std::ceil(quotas.requestRate(now)), 65'000.0));
            follower.fillStatus(status, now);
        };
        hooks.statusReceived = [this](const InstanceStatus &it) {
            const auto now = Clock::now();
            follower.receivePeerStatus(it, now);
            quotas.receiveStatus(it, now);
        };
        hooks.observationReceived = [this](const UpstreamObservation &it) {
            serviceRegistry.service(it.service).pool.addRemoteObservation(it.counts, Clock::now());
        };
        hooks.takeObservations = [this] { return takeObservations(); };
        hooks.suspectReceived = [this](const SuspectReport &it) { forwarder.crashSuspects().merge(it, Clock::now()); };
        hooks.takeSuspects = [this] { return forwarder.crashSuspects().takeReports(Clock::now()); };
        hooks.quotaReceived
            = [this](const std::string &ip, const QuotaReport &it) { quotas.receiveReport(ip, it, Clock::now()); };
        hooks.takeQuotaReports = [this] { return quotas.takeReports(MaxQuotaReports, Clock::now()); };
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
            divideWork(now);
            follower.wake();
        };
        return hooks;
    }

    StoreFollower::Hooks followerHooks()
    {
        return {[this] { link.announce(); },
                [this](std::string_view step, Clock::duration took) { monitor.recordStep(step, took); }};
    }

    std::vector<UpstreamObservation> takeObservations()
    {
        std::vector<UpstreamObservation> result;
        const auto now = Clock::now();
        for (auto &[serviceName, service] : serviceRegistry.services()) {
            for (auto &it : service->pool.takeObservations(now)) {
                if (it.failures > 0) {
                    logEvent(LogLevel::Info,
                             "upstream.failing",
                             {{"upstream", it.id}, {"failures", it.failures}, {"successes", it.successes}});
                }
                auto zone = service->pool.zoneOf(it.id);
                result.push_back({serviceName, std::move(it), std::move(zone)});
            }
        }
        return result;
    }

    bool isReady() const
    {
        return !schedule && follower.isComplete();
    }

    awaitable<HttpResponse> answerReadiness(HttpRequest request)
    {
        const bool known = request.target() == adapter.readinessTarget;
        const auto status = !known ? http::status::not_found
            : isReady()            ? http::status::ok
                                   : http::status::service_unavailable;
        co_return makeResponse(status, "text/plain", std::string(name(group.self().role)) + '\n');
    }

    awaitable<HttpResponse> answerAddresses(HttpRequest request)
    {
        const auto target = request.target();
        const auto zone = adapter.decodeAddressQuery({target.data(), target.size()});
        if (!zone) {
            co_return makeResponse(http::status::not_found, "text/plain", "unknown target\n");
        }
        std::vector<Endpoint> endpoints;
        const auto now = Clock::now();
        for (const auto &ip : group.addressesFor(*zone, now)) {
            endpoints.push_back({ip, settings.callers.port});
        }
        const auto lifetime = std::min(AddressLifetime, settings.bounds.addressLifetimeMax);
        co_return makeResponse(http::status::ok, "application/json", adapter.encodeAddresses(endpoints, lifetime));
    }

    awaitable<HttpResponse> answerPeer(HttpRequest request)
    {
        const auto begin = Clock::now();
        auto response = changesReplies.answer(request, follower.copy());
        monitor.recordStep("store.answer-pull", Clock::now() - begin);
        co_return response;
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
            // Metrics are optional, so the instance serves requests without them.
            logEvent(LogLevel::Error, "metrics.unavailable", {{"error", e.what()}});
        }
    }

    awaitable<HttpResponse> answerMetrics(HttpRequest request)
    {
        if (request.target() == "/dump") {
            co_return makeResponse(http::status::ok,
                                   "application/json",
                                   dumpState(group, serviceRegistry, quotas, follower, Clock::now()) + '\n');
        }
        if (request.target() != "/metrics") {
            co_return makeResponse(http::status::not_found, "text/plain", "unknown target\n");
        }
        updateGauges(metrics, {forwarder, follower, quotas, memory}, Clock::now());
        co_return makeResponse(http::status::ok, "text/plain; version=0.0.4", metrics.prometheus());
    }

    void waitForSignal()
    {
        signals.async_wait([this](error_code ec, int signal) {
            if (ec) {
                return;
            }
            // First, so that an exception does not end the wait.
            waitForSignal();
            signal == SIGHUP ? reload() : stop();
        });
    }

    void reload()
    {
        try {
            const auto newSettings = onReload();
            setLogLevel(newSettings.logLevel);
            settings.seeds = newSettings.seeds;
            settings.bounds = newSettings.bounds;
            quotas.setTerms(settings.bounds.quota);
            logEvent(LogLevel::Info, "settings.reloaded", {{"seeds", settings.seeds.size()}});
        } catch (const Error &e) {
            logEvent(LogLevel::Error, "settings.reload-failed", {{"error", e.what()}});
        }
    }

    void stop()
    {
        if (schedule) {
            return;
        }
        const auto now = Clock::now();
        const auto received = std::min(now, stopSignalTime.first().value_or(now));
        const auto requested = pauses.earliestSent(received);
        schedule.emplace(requested, settings.bounds.graceTime);
        callers.startClosing();
        callers.refuseFrom(schedule->refuseFrom);
        forwarder.endBy(schedule->endAt);
        scheduleStopCheck();
        hadTraffic = group.self().role == InstanceRole::Active || callers.connections() > 0;
        logEvent(LogLevel::Info,
                 "instance.stopping",
                 {{"role", name(group.self().role)},
                  {"connections", callers.connections()},
                  {"late_ms", std::chrono::duration<double, std::milli>(now - requested).count()}});
        group.leave();
        link.announce();
    }

    /// Returns the time until the next tick.
    Milliseconds scheduleTick()
    {
        const bool standby = group.self().role == InstanceRole::Standby && forwarder.inFlight() == 0 && !schedule;
        const auto interval = standby ? StandbyTickInterval : TickInterval;
        ticker.expires_after(interval);
        ticker.async_wait([this](error_code ec) {
            if (!ec) {
                tick();
            }
        });
        return interval;
    }

    void tick()
    {
        const auto due = ticker.expiry();
        // First, so that an exception does not end the ticks.
        const auto interval = scheduleTick();
        const auto now = Clock::now();
        pauses.recordTick(now, interval);
        recordTick(due, now);
        measureLoad(now);
        quotas.setActive(group.self().role == InstanceRole::Active);
        quotas.prune(now);
        link.tick(now);
        forwarder.tick(now);
        memory.tick(now);
        flushLog();
    }

    void recordTick(TimePoint due, TimePoint now)
    {
        const auto workerTime = follower.workerTime(now);
        monitor.recordTick(due, now, workerTime - lastWorkerTime);
        lastWorkerTime = workerTime;
    }

    /// Ticks are too far apart for the last phases of a short grace time.
    void scheduleStopCheck()
    {
        stopTimer.expires_after(StopCheckInterval);
        stopTimer.async_wait([this](error_code ec) {
            if (!ec) {
                scheduleStopCheck();
                continueStop(Clock::now());
            }
        });
    }

    void continueStop(TimePoint now)
    {
        if (finishing && hasStopped(now)) {
            shutDown();
        } else if (now >= schedule->endAt && !endedAt) {
            endedAt = now;
            logStopPhase("ending", now);
            callers.refuseFrom(now);
            callers.refuseUnforwarded();
            forwarder.endAll(now);
        } else if (now >= schedule->exitAt && now >= *endedAt + MinAnswerTime) {
            shutDown();
        } else if (!finishing && hasStopped(now)) {
            // The next checks read and refuse what has arrived meanwhile.
            finishing = true;
            logStopPhase("finishing", now);
            callers.finishAccepting();
        }
    }

    void measureLoad(TimePoint now)
    {
        const double elapsed = std::chrono::duration<double>(now - lastLoadAt).count();
        if (now - lastLoadAt < LoadInterval) {
            return;
        }
        const double cpuSeconds = processCpuSeconds();
        const double used = 1000 * (cpuSeconds - lastCpuSeconds) / elapsed;
        divideWork(now);
        load += LoadSmoothing * (used - load);
        lastCpuSeconds = cpuSeconds;
        lastLoadAt = now;
    }

    /// Divides what active instances share: the exploration of upstreams, the request rates
    /// that they take, and the reserve of the retry budget.
    void divideWork(TimePoint now)
    {
        const auto activeInstances = group.activeInstances("", now);
        assignment.update(activeInstances);
        // Inactive instances get too few requests to need a retry reserve, but are so many that theirs would add up.
        const bool active = group.self().role == InstanceRole::Active;
        serviceRegistry.divideRetryReserve(active ? std::optional(activeInstances.size()) : std::nullopt);
    }

    /// Whether the instance has served for as long as callers use its address, and has nothing left to do.
    bool hasStopped(TimePoint now) const
    {
        const auto earliest = hadTraffic ? schedule->refuseFrom : schedule->requested + IdleStopTime;
        return now >= earliest && callers.activeRequests() == 0 && forwarder.inFlight() == 0;
    }

    void logStopPhase(std::string_view phase, TimePoint now) const
    {
        logEvent(LogLevel::Info,
                 "instance.stop-phase",
                 {{"phase", phase},
                  {"ms", std::chrono::duration<double, std::milli>(now - schedule->requested).count()},
                  {"requests", callers.activeRequests()},
                  {"in_flight", forwarder.inFlight()}});
    }

    void shutDown()
    {
        logEvent(LogLevel::Info,
                 "instance.stopped",
                 {{"ms", std::chrono::duration<double, std::milli>(Clock::now() - schedule->requested).count()},
                  {"in_flight", forwarder.inFlight()},
                  {"connections", callers.connections()}});
        callers.close();
        context.stop();
    }
};

Gateway::Gateway(GatewaySettings settings, PlatformAdapter adapter)
    : m_d(std::make_unique<Private>(std::move(settings), std::move(adapter)))
{
}

Gateway::~Gateway() = default;

void Gateway::run(std::function<GatewaySettings()> onReload)
{
    m_d->onReload = std::move(onReload);
    m_d->start();
    for (;;) {
        try {
            m_d->context.run();
            return;
        } catch (const InvariantError &) {
            throw;
        } catch (const std::exception &e) {
            // An unexpected error ends the connection or message that caused it, not the process.
            logEvent(LogLevel::Error, "handler.failed", {{"error", e.what()}});
        }
    }
}

} // namespace laburnumspar
