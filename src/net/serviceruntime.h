#pragma once

#include "detail/guarded.h"
#include "laburnumspar/dispatcher.h"
#include "laburnumspar/health.h"
#include "laburnumspar/metrics.h"
#include "laburnumspar/retrybudget.h"
#include "laburnumspar/settings.h"
#include "net/upstreamclient.h"

namespace laburnumspar::detail {

/// One request of a caller on its way through the fleet.
struct CallRequest {
    std::string service;
    std::string path; ///< with the query
    std::string method;
    std::string team;
    std::string requestId;
    std::string contentType;
    std::string body;
    std::string route; ///< prefix of the matching route, for learning
    WorkClass workClass = WorkClass::Short;
    bool idempotent = false;
    TimePoint deadline;
};

/// How a request ended, as told to the entry instance or the caller.
struct CallResult {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    unsigned status = 0;
    std::string contentType;
    std::string body;
    UpstreamId upstream;
    std::string detail;
};

/// Queue, health evidence and attempts of one service on one instance.
class ServiceRuntime
{
public:
    struct Context {
        asio::io_context &io;
        UpstreamClient &client;
        MetricsRegistry &metrics;
        std::uint64_t seed;
        unsigned instancesMax;
    };

    ServiceRuntime(Context context, std::shared_ptr<const ServiceSettings> settings);

    /// Queues the request and sends it to an upstream; retries where that is safe.
    awaitable<CallResult> execute(const CallRequest &call, CancellationPtr cancellation);

    /// Takes over the upstreams of the service; `owned` are those that this instance dispatches.
    void setUpstreams(const std::vector<UpstreamEntry> &all, const std::vector<UpstreamId> &owned, TimePoint now);
    /// Whether each upstream gets at most one request at a time from here.
    void setReserve(bool reserve);
    /// Applies what time changes; to be called every 10 ms or so.
    void tick(TimePoint now);
    /// This process did not run between the two times.
    void notePause(TimePoint from, TimePoint to);

    ServiceLoad load() const;
    std::vector<UpstreamId> unreachable() const;
    DispatcherDump dispatcherDump() const;
    HealthDump healthDump(TimePoint now) const;
    std::shared_ptr<const ServiceSettings> settings() const;
    /// Takes over changed settings; queue, slots and evidence stay.
    void setSettings(std::shared_ptr<const ServiceSettings> settings, TimePoint now);
    std::size_t attemptsInFlight() const;

private:
    /// An attempt at an upstream.
    struct Attempt {
        UpstreamId upstream;
        WorkClass workClass = WorkClass::Short;
        TimePoint sentAt;
        CancellationPtr abandon; ///< set where the attempt may be given up and tried elsewhere
    };
    /// What an upstream last said of itself.
    struct Sign {
        TimePoint seenAt; ///< last answer, or end of the last probe if it did not answer
        bool draining = false;
        bool probing = false;
    };
    struct Table {
        std::shared_ptr<const ServiceSettings> settings;
        std::unique_ptr<Dispatcher> dispatcher;
        std::unique_ptr<HealthEvaluator> health;
        RetryBudget retryBudget{0};
        std::map<std::uint64_t, OneShot<Decision>> waiting;
        std::map<std::uint64_t, Attempt> attempts;
        std::map<UpstreamId, Sign> signs;
        std::map<UpstreamId, unsigned> owned; ///< with the configured slots
        std::uint64_t nextTicket = 1;
        double usualShortUs = 0; ///< of successful short attempts; 0 without any
        TimePoint evaluatedAt;
        bool reserve = false;
    };

    Admission admission(Table &table, const UpstreamId &upstream, TimePoint now) const;
    awaitable<Decision>
    admit(const CallRequest &call, std::uint64_t ticket, std::vector<UpstreamId> exclude, CancellationPtr c);
    awaitable<CallResult> attempt(const CallRequest &call, Decision start, CancellationPtr c);
    bool mayRetry(const CallRequest &call, const CallResult &result, unsigned attempts, CancellationPtr c);
    void recordAttempt(const Decision &start, const AttemptResult &result, TimePoint sentAt);
    void notePhase(Table &table, const UpstreamId &upstream, const UpstreamAnswer &answer, TimePoint now);
    void carryOut(const std::vector<Decision> &decisions);
    void release(std::uint64_t ticket, Reason reason);
    /// Returns the attempts to give up.
    std::vector<CancellationPtr> recordOverdue(Table &table, TimePoint now);
    std::vector<UpstreamId> dueProbes(Table &table, TimePoint now);
    awaitable<void> probe(UpstreamId upstream);
    unsigned maxConnections() const;

    Context m_context;
    std::string m_service;
    mutable Guarded<Table> m_table;
    Counter &m_started;
    Counter &m_refused;
    Counter &m_retries;
    Distribution &m_attemptTime;
};

/// Maps the fault of an attempt to evidence; empty if it says nothing about the upstream.
std::optional<EvidenceKind> evidenceOf(const AttemptResult &result);

} // namespace laburnumspar::detail
