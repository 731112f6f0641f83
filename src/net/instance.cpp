#include "laburnumspar/instance.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"
#include "laburnumspar/plugin.h"
#include "laburnumspar/version.h"
#include "net/adminapi.h"
#include "net/callerapi.h"
#include "net/drainlimit.h"
#include "net/gossip.h"
#include "net/platformreader.h"
#include "net/settingssync.h"

#include <random>
#include <thread>

namespace laburnumspar {

using namespace detail;

namespace {

enum class RunState : std::uint8_t {
    Starting,
    Ready,
    Leaving,
    Stopped,
};

constexpr std::array<std::string_view, 4> RunStateNames{"starting", "ready", "leaving", "stopped"};

constexpr Milliseconds TickInterval{10};
constexpr Milliseconds RefreshInterval{100};
constexpr Milliseconds GossipInterval{250};
// A longer gap between two ticks means that the process was paused.
constexpr Milliseconds PauseThreshold{500};
// Time for peers to report newer settings before the instance serves callers.
constexpr Milliseconds MinDiscoveryTime{700};
// Callers keep an address for 5 s (AddressLifetime) and may use it slightly longer.
constexpr Milliseconds MinLeavingTime{6000};
// Longest time for connections to be closed on which no request is in flight.
constexpr Milliseconds MaxCloseTime{6000};
// Longest time for the answers to the requests that are aborted at the end of a forced stop.
constexpr Milliseconds MaxAbortTime{2000};

std::uint64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

std::uint64_t effectiveSeed(std::uint64_t seed)
{
    std::random_device device;
    return seed != 0 ? seed : (static_cast<std::uint64_t>(device()) << 32U) | device();
}

Membership makeMembership(const ProcessSettings &settings, std::uint64_t incarnation, std::uint64_t seed)
{
    return Membership::Builder()
        .self(settings.peers)
        .zone(settings.zone)
        .callerAddress(settings.callers)
        .incarnation(incarnation)
        .seeds(settings.seeds)
        .period(GossipInterval)
        .randomSeed(seed)
        .build();
}

} // namespace

/// The components of one process. Lock order: see detail::LockRank.
class Instance::Private
{
public:
    Private(ProcessSettings processSettings, std::uint64_t seedValue);

    int run();
    void requestStop();

    ProcessSettings settings;

private:
    void start();
    awaitable<void> tickLoop();
    awaitable<void> refreshLoop();
    awaitable<void> gossipLoop();
    awaitable<void> stopLoop();
    void recordPause(TimePoint last, TimePoint now);
    void refresh(TimePoint now);
    void publishSettings();
    void refreshServices(const std::vector<MemberView> &members, TimePoint now);
    void updateReadiness(const std::vector<MemberView> &members, TimePoint now);
    void receiveHeartbeat(const DecodedMessage &message, const Endpoint &from);
    bool isSettingsReader() const
    {
        return m_isSettingsReader;
    }
    std::string stateName() const
    {
        return std::string(RunStateNames[static_cast<std::size_t>(m_state.load())]);
    }
    std::size_t requestsInFlight() const
    {
        return m_callerServer.requestsInFlight() + m_peerServer.requestsInFlight();
    }

    /// Inputs of the assignment of upstreams to dispatchers.
    struct AssignmentInputs {
        std::uint64_t settingsRevision = 0;
        std::uint64_t membersRevision = 0;
        bool isolated = false;
        std::vector<std::pair<InstanceId, UnreachableUpstreams>> unreachable;

        bool operator==(const AssignmentInputs &) const = default;
    };

    std::uint64_t m_seed;
    std::uint64_t m_incarnation = wallClockMs();
    TimePoint m_startedAt = Clock::now();
    std::atomic<RunState> m_state = RunState::Starting;
    std::atomic<int> m_stopRequests = 0;
    std::atomic<bool> m_isSettingsReader = false;
    DrainLimit m_drainLimit;
    std::atomic<std::size_t> m_aborted = 0;
    // Accessed by the refresh loop only: inputs of the last assignment and revision of the last published settings.
    std::optional<AssignmentInputs> m_assignmentInputs;
    std::optional<std::uint64_t> m_publishedRevision;

    asio::io_context m_io;
    MetricsRegistry m_metrics;
    FaultInjector m_faults;
    std::unique_ptr<UpstreamDialect> m_upstreamDialect;
    std::unique_ptr<PlatformDialect> m_platformDialect;
    UpstreamClient m_upstreamClient;
    Guarded<SettingsStore> m_store;
    Guarded<Membership> m_membership;
    Guarded<ClaimTable> m_claims;
    SettingsSync m_settingsSync;
    ServiceTable m_services;
    PeerConnections m_peerConnections;
    Router m_router;
    CallerApi m_callerApi;
    AdminApi m_adminApi;
    HttpServer m_callerServer;
    HttpServer m_adminServer;
    PeerServer m_peerServer;
    Gossip m_gossip;
    PlatformReader m_platformReader;
    Counter &m_pauses;
};

Instance::Private::Private(ProcessSettings processSettings, std::uint64_t seedValue)
    : settings(std::move(processSettings))
    , m_seed(effectiveSeed(seedValue))
    , m_faults(settings.faultInjection)
    , m_upstreamDialect(Registry<UpstreamDialect>::global().make("lspar-v1"))
    , m_platformDialect(Registry<PlatformDialect>::global().make(settings.platformDialect))
    , m_upstreamClient(*m_upstreamDialect, m_faults, {})
    , m_store(LockRank::Settings)
    , m_membership(LockRank::Membership, makeMembership(settings, m_incarnation, m_seed))
    , m_claims(LockRank::Claims, settings.peers, m_incarnation, Clock::now())
    , m_settingsSync(m_store)
    , m_services(settings.peers, {m_io, m_upstreamClient, m_metrics, m_seed, settings.maxInstances})
    , m_peerConnections(
          m_io,
          m_faults,
          {settings.peers, m_incarnation, 0},
          {},
          [this](const InstanceId &from, const SettingsPullReply &values) {
              m_settingsSync.applyPeerValues(from, values);
          },
          [this] { return m_settingsSync.ownVersions(); })
    , m_router({settings.peers,
                settings.zone,
                m_incarnation,
                m_seed,
                m_claims,
                m_services,
                m_peerConnections,
                m_metrics,
                [this](TimePoint deadline) { return m_drainLimit.mayOutlast(deadline); }})
    , m_callerApi({settings.peers,
                   settings.callers,
                   settings.zone,
                   m_incarnation,
                   m_services,
                   m_router,
                   m_metrics,
                   [this] { return m_state != RunState::Starting; },
                   [this] { return m_state == RunState::Leaving; }})
    , m_adminApi({settings,
                  m_incarnation,
                  m_store,
                  m_membership,
                  m_claims,
                  m_services,
                  m_faults,
                  m_metrics,
                  [this] { return stateName(); },
                  [this] { return isSettingsReader(); },
                  [this](TimePoint now) { return m_router.loads(now); }})
    , m_callerServer(m_io,
                     settings.callers,
                     {},
                     [this](HttpRequest request, CancellationPtr cancellation) {
                         return m_callerApi.handle(std::move(request), std::move(cancellation));
                     })
    , m_adminServer(m_io,
                    settings.admin,
                    {},
                    [this](HttpRequest request, CancellationPtr cancellation) {
                        return m_adminApi.handle(std::move(request), std::move(cancellation));
                    })
    , m_peerServer(
          m_io,
          m_faults,
          {settings.peers, m_incarnation, 0},
          [this](ForwardRequest request, CancellationPtr cancellation) {
              return m_router.handleForward(std::move(request), std::move(cancellation));
          },
          [this](const SettingsPull &pull) { return m_settingsSync.makeReplies(pull); })
    , m_gossip(m_io,
               m_faults,
               settings.peers,
               m_metrics,
               [this](const DecodedMessage &message, const Endpoint &from) { receiveHeartbeat(message, from); })
    , m_platformReader(
          {m_io,
           *m_platformDialect,
           settings.platform,
           m_metrics,
           [this] { return isSettingsReader(); },
           [this](const SettingsVersion &version) { return m_settingsSync.isNewer(version); },
           [this](const PlatformValue &value) { m_settingsSync.applyPlatformValue(value); },
           [this](const PlatformInstances &instances) { m_settingsSync.applyPlatformInstances(instances); }})
    , m_pauses(m_metrics.counter("lspar_pauses_total"))
{
}

int Instance::Private::run()
{
    start();
    std::vector<std::thread> threads;
    for (unsigned n = 1; n < settings.workers; ++n) {
        threads.emplace_back([this] { m_io.run(); });
    }
    m_io.run();
    for (auto &thread : threads) {
        thread.join();
    }
    logEvent(LogLevel::Info, "instance.stopped", {{"aborted", m_aborted.load()}});
    return m_aborted == 0 ? 0 : 1;
}

void Instance::Private::start()
{
    logEvent(LogLevel::Info,
             "instance.start",
             {{"version", Version},
              {"instance", toString(settings.peers)},
              {"callers", toString(settings.callers)},
              {"admin", toString(settings.admin)},
              {"zone", settings.zone},
              {"incarnation", m_incarnation}});
    m_callerServer.start();
    m_adminServer.start();
    m_peerServer.start();
    m_gossip.start();
    m_platformReader.start();
    spawn(m_io, "tick", [this] { return tickLoop(); });
    spawn(m_io, "refresh", [this] { return refreshLoop(); });
    spawn(m_io, "gossip", [this] { return gossipLoop(); });
    spawn(m_io, "stop", [this] { return stopLoop(); });
}

awaitable<void> Instance::Private::tickLoop()
{
    auto last = Clock::now();
    while (m_state != RunState::Stopped) {
        co_await sleepFor(TickInterval);
        const auto now = Clock::now();
        if (now - last > PauseThreshold) {
            recordPause(last, now);
        }
        last = now;
        m_services.tick(now);
    }
}

void Instance::Private::recordPause(TimePoint last, TimePoint now)
{
    m_pauses.add();
    logEvent(
        LogLevel::Warning, "process.paused", {{"ms", std::chrono::duration_cast<Milliseconds>(now - last).count()}});
    m_membership.with([&](Membership &members) { members.recordPause(last, now); });
    m_services.recordPause(last, now);
}

awaitable<void> Instance::Private::refreshLoop()
{
    while (m_state != RunState::Stopped) {
        refresh(Clock::now());
        co_await sleepFor(RefreshInterval);
    }
}

void Instance::Private::refresh(TimePoint now)
{
    const auto entries = m_store.with([](SettingsStore &store) { return store.instances(); });
    auto loads = m_services.loads();
    auto unreachable = m_services.unreachable();
    const auto members = m_membership.with([&](Membership &membership) {
        membership.applyPlatformList(*entries, now);
        membership.publish(std::move(loads), std::move(unreachable));
        return membership.view(now);
    });
    publishSettings();
    refreshServices(members, now);
    for (const auto &member : members) {
        for (const auto &load : member.loads) {
            if (member.id != settings.peers) {
                m_router.updateLoad(member.id, load, member.loadsUpdatedAt);
            }
        }
    }
    const auto readers = settingsReaders(members);
    m_isSettingsReader = std::find(readers.begin(), readers.end(), settings.peers) != readers.end();
    updateReadiness(members, now);
    for (const auto &change : m_membership.with([](Membership &membership) { return membership.takeChanges(); })) {
        logEvent(LogLevel::Info,
                 "member.changed",
                 {{"member", toString(change.id)}, {"from", name(change.from)}, {"to", name(change.to)}});
    }
}

// Computing the digest takes about 3 ms for 5,000 paths, so it is done only after a change.
void Instance::Private::publishSettings()
{
    const auto revision = m_settingsSync.revision();
    if (m_publishedRevision != revision) {
        const auto versions = m_store.with([](SettingsStore &store) { return store.digest(); });
        m_membership.with([&](Membership &membership) { membership.publishSettings(versions); });
        m_publishedRevision = revision;
    }
}

// Assigning the upstreams takes about 0.6 ms per service, so it is repeated only when its inputs change.
void Instance::Private::refreshServices(const std::vector<MemberView> &members, TimePoint now)
{
    AssignmentInputs inputs;
    inputs.settingsRevision = m_settingsSync.revision();
    m_membership.with([&](Membership &membership) {
        inputs.membersRevision = membership.revision();
        inputs.isolated = membership.hasNoLivePeers(now);
    });
    for (const auto &member : members) {
        for (const auto &entry : member.unreachable) {
            inputs.unreachable.emplace_back(member.id, entry);
        }
    }
    if (m_assignmentInputs != inputs) {
        m_store.with([&](SettingsStore &store) { m_services.refresh(store, members, inputs.isolated, now); });
        m_assignmentInputs = std::move(inputs);
    }
}

// A starting instance must not serve with settings older than those of the peers or the platform that it can reach. It
// becomes ready when it knows a service and either its settings match those of a peer, or it has no live peers and has
// read the platform.
void Instance::Private::updateReadiness(const std::vector<MemberView> &members, TimePoint now)
{
    if (m_state != RunState::Starting || now - m_startedAt < MinDiscoveryTime) {
        return;
    }
    const auto own = m_store.with([](SettingsStore &store) { return store.digestHash(); });
    bool matchesPeer = false;
    for (const auto &member : members) {
        if (member.id != settings.peers && member.bidirectional) {
            matchesPeer = matchesPeer || member.settingsHash == own;
        }
    }
    const bool hasNoPeers = m_membership.with([&](Membership &membership) { return membership.hasNoLivePeers(now); });
    const bool hasPlatformData = m_platformReader.lastSuccessAt() != TimePoint() && !m_services.services().empty();
    if ((matchesPeer && !m_services.services().empty()) || (hasNoPeers && hasPlatformData)) {
        m_state = RunState::Ready;
        logEvent(LogLevel::Info, "instance.ready", {{"from_peers", matchesPeer}});
    }
}

awaitable<void> Instance::Private::gossipLoop()
{
    while (m_state != RunState::Stopped) {
        const auto datagrams = m_membership.with([](Membership &membership) { return membership.tick(Clock::now()); });
        for (const auto &datagram : datagrams) {
            m_gossip.send(datagram.to, datagram.bytes);
        }
        co_await sleepFor(GossipInterval);
    }
}

void Instance::Private::receiveHeartbeat(const DecodedMessage &message, const Endpoint &from)
{
    const auto *heartbeat = std::get_if<Heartbeat>(&message.message);
    if (!heartbeat) {
        m_metrics.counter("lspar_gossip_refused_total").add();
        return;
    }
    const auto result = m_membership.with(
        [&](Membership &membership) { return membership.receive(message.envelope, *heartbeat, from, Clock::now()); });
    if (result != ReceiveResult::Accepted) {
        m_metrics.counter("lspar_heartbeats_refused_total", {{"reason", std::string(name(result))}}).add();
        return;
    }
    if (m_settingsSync.isBehind(heartbeat->settings)) {
        m_peerConnections.pullSettings(message.envelope.sender);
    }
}

awaitable<void> Instance::Private::stopLoop()
{
    constexpr Milliseconds CheckInterval{20};
    while (m_stopRequests == 0) {
        co_await sleepFor(CheckInterval);
    }
    const auto startedAt = Clock::now();
    m_drainLimit.start(startedAt, settings.drainTimeout);
    m_state = RunState::Leaving;
    m_membership.with([](Membership &membership) { membership.leave(); });
    m_callerServer.startClosing();
    logEvent(LogLevel::Info, "instance.leaving", {{"in_flight", requestsInFlight()}});
    const auto isForced = [this] { return m_stopRequests > 1 || m_drainLimit.isOver(Clock::now()); };
    while (!isForced() && (Clock::now() - startedAt < MinLeavingTime || requestsInFlight() > 0)) {
        co_await sleepFor(CheckInterval);
    }
    m_callerServer.close();
    // Requests that were read just before the close are answered, however long the stop has taken.
    const auto closedAt = Clock::now();
    while (
        !isForced()
        && (requestsInFlight() > 0 || (m_callerServer.connections() > 0 && Clock::now() - closedAt < MaxCloseTime))) {
        co_await sleepFor(CheckInterval);
    }
    if (isForced()) {
        m_aborted = m_callerServer.abort() + m_peerServer.requestsInFlight();
        logEvent(LogLevel::Warning, "instance.forced-stop", {{"aborted", m_aborted.load()}});
        const auto abortedAt = Clock::now();
        while (m_callerServer.requestsInFlight() > 0 && Clock::now() - abortedAt < MaxAbortTime) {
            co_await sleepFor(CheckInterval);
        }
    }
    m_state = RunState::Stopped;
    m_peerServer.close();
    m_peerConnections.closeAll();
    m_io.stop();
}

void Instance::Private::requestStop()
{
    ++m_stopRequests;
}

Instance::Instance(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{
}

Instance::~Instance() = default;

int Instance::run()
{
    return m_d->run();
}

void Instance::requestStop()
{
    m_d->requestStop();
}

void Instance::reload(const ProcessSettings &settings)
{
    setLogLevel(settings.logLevel);
    logEvent(LogLevel::Info, "instance.reloaded", {{"log_level", settings.logLevel}});
}

Instance::Builder &Instance::Builder::settings(ProcessSettings settings)
{
    m_settings = std::move(settings);
    return *this;
}

Instance::Builder &Instance::Builder::seed(std::uint64_t seed)
{
    m_seed = seed;
    return *this;
}

std::unique_ptr<Instance> Instance::Builder::build() const
{
    return std::unique_ptr<Instance>(new Instance(std::make_unique<Private>(m_settings, m_seed)));
}

} // namespace laburnumspar
