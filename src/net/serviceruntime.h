#pragma once

#include "detail/guarded.h"
#include "laburnumspar/dispatcher.h"
#include "laburnumspar/health.h"
#include "laburnumspar/metrics.h"
#include "laburnumspar/retrybudget.h"
#include "laburnumspar/settings.h"
#include "net/upstreamclient.h"

namespace laburnumspar::detail {

/// A request of a caller as it is passed between the parts of an instance.
struct CallRequest {
    std::string service;
    std::string path; ///< including the query
    std::string method;
    std::string team;
    std::string requestId;
    std::string contentType;
    std::string body;
    std::string route; ///< key under which execution times are recorded; see routeStatsKey()
    RequestClass requestClass = RequestClass::Short;
    bool idempotent = false;
    TimePoint deadline;
};

/// Result of a request as reported to the entry instance or the caller.
struct CallResult {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    unsigned status = 0;
    std::string contentType;
    std::string body;
    UpstreamId upstream;
    std::string detail;
};

/// Queue, health evidence and attempts of one service on one instance. Thread-safe.
class ServiceRuntime
{
public:
    struct Context {
        asio::io_context &io;
        UpstreamClient &client;
        MetricsRegistry &metrics;
        std::uint64_t seed;
        unsigned maxInstances; ///< instances that share the connection limit of an upstream
    };

    ServiceRuntime(Context context, std::shared_ptr<const ServiceSettings> settings);

    /// Queues the request, sends it to an upstream, and retries it at others where that is safe.
    awaitable<CallResult> execute(const CallRequest &call, CancellationPtr cancellation);

    /// Sets the upstreams of the service; `owned` are those that this instance dispatches to.
    void setUpstreams(const std::vector<UpstreamEntry> &all, const std::vector<UpstreamId> &owned, TimePoint now);
    /// While isolated, this instance sends at most one request at a time to each upstream, because instances that it
    /// cannot reach may dispatch to the same upstreams.
    void setIsolated(bool isolated);
    /// Evaluates upstream health, starts due probes and expires queued requests. To be called about every 10 ms.
    void tick(TimePoint now);
    /// Records that this process did not run between the two times.
    void recordPause(TimePoint from, TimePoint to);

    ServiceLoad load() const;
    /// Upstreams that this instance cannot reach.
    std::vector<UpstreamId> unreachable() const;
    DispatcherDump dispatcherDump() const;
    HealthDump healthDump(TimePoint now) const;
    std::shared_ptr<const ServiceSettings> settings() const;
    /// Applies changed settings. The queue, the slots in use and the health evidence are kept.
    void setSettings(std::shared_ptr<const ServiceSettings> settings, TimePoint now);
    std::size_t attemptsInFlight() const;

private:
    /// A request sent to an upstream and not finished yet.
    struct Attempt {
        UpstreamId upstream;
        RequestClass requestClass = RequestClass::Short;
        TimePoint sentAt;
        CancellationPtr abandon; ///< cancels the attempt; set if the request may be retried
    };
    /// Phase last reported by an upstream.
    struct PhaseStatus {
        TimePoint checkedAt; ///< last report of a phase, or end of the last probe if that is later
        bool draining = false;
        bool probing = false; ///< a probe or the pause after it is in progress
    };
    struct State {
        std::shared_ptr<const ServiceSettings> settings;
        std::unique_ptr<Dispatcher> dispatcher;
        std::unique_ptr<HealthEvaluator> health;
        RetryBudget retryBudget{0};
        std::map<std::uint64_t, OneShot<Decision>> waiting; ///< by ticket
        std::map<std::uint64_t, Attempt> attempts; ///< by ticket
        std::map<UpstreamId, PhaseStatus> phases;
        UpstreamConstraints constraints; ///< by address of the upstream
        std::map<UpstreamId, unsigned> owned; ///< with their configured slots
        std::uint64_t nextTicket = 1;
        double typicalShortUs = 0; ///< moving average of successful short attempts; 0 if there were none
        TimePoint evaluatedAt;
        bool isolated = false;
    };

    /// Whether, and with how many slots, requests may be sent to the upstream, apart from its request rate.
    Admission admission(State &state, const UpstreamId &upstream, TimePoint now) const;
    /// The same, with no more slots than the request rate of the upstream allows.
    Admission rateLimitedAdmission(State &state, const UpstreamId &upstream, TimePoint now) const;
    /// Queues the request and waits for the decision of the dispatcher.
    awaitable<Decision>
    admit(const CallRequest &call, std::uint64_t ticket, std::vector<UpstreamId> exclude, CancellationPtr cancellation);
    awaitable<CallResult> attempt(const CallRequest &call, Decision decision, CancellationPtr cancellation);
    /// Whether to retry the request. Spends from the retry budget if so.
    bool
    shouldRetry(const CallRequest &call, const CallResult &result, unsigned attempts, CancellationPtr cancellation);
    void recordAttempt(const Decision &decision, const AttemptResult &result, TimePoint sentAt);
    void recordNotice(State &state, const UpstreamId &upstream, const AttemptResult &result, TimePoint now);
    void recordPhase(State &state, const UpstreamId &upstream, const UpstreamAnswer &answer, TimePoint now);
    /// Resumes the requests that wait for these decisions.
    void deliverDecisions(const std::vector<Decision> &decisions);
    /// Ends an admitted request that has not been sent.
    void releaseSlot(std::uint64_t ticket, Reason reason);
    /// Records overdue attempts as evidence. Returns the cancellations of those to retry at another upstream.
    std::vector<CancellationPtr> recordOverdue(State &state, TimePoint now);
    std::vector<UpstreamId> dueProbes(State &state, TimePoint now);
    awaitable<void> probe(UpstreamId upstream);
    /// Connections to one upstream that this instance may open.
    unsigned maxConnections() const;

    Context m_context;
    std::string m_service;
    mutable Guarded<State> m_state;
    Counter &m_attempts;
    Counter &m_refused;
    Counter &m_retries;
    Distribution &m_attemptTime;
};

/// Converts the result of an attempt to health evidence; empty if it says nothing about the upstream.
std::optional<EvidenceKind> toEvidenceKind(const AttemptResult &result);

} // namespace laburnumspar::detail
