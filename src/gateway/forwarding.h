#pragma once

#include "gateway/forwarder.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar::detail {

/// Forwards one request of a caller: queues it, sends it to one or more upstreams and passes on the first usable
/// answer.
class Forwarding : public std::enable_shared_from_this<Forwarding>
{
public:
    Forwarding(Forwarder &forwarder,
               ForwardedRequest request,
               std::shared_ptr<const RouteTable> table,
               const Route &route,
               std::string service,
               Forwarder::Handler handler);
    ~Forwarding();
    Forwarding(const Forwarding &) = delete;
    Forwarding &operator=(const Forwarding &) = delete;

    /// Starts an attempt, or queues the request if no upstream has a free slot.
    void start();
    /// Called when nobody can receive the answer any more. The handler is not called any more.
    void abandon();
    /// Called when the caller has closed its connection or its sending side. The request is not sent to an upstream any
    /// more. An attempt is cancelled only if the request is idempotent: the effect of others is wanted.
    void onCallerClosed();
    /// Gives the request its final answer, because the instance stops.
    void end(TimePoint now);
    /// Drops the attempts without an answer, because the forwarder is destroyed. An attempt and its request own each
    /// other until the attempt ends, which it does not without the event loop.
    void release();
    /// Starts an attempt if an upstream has a free slot, or refuses the request if upstreams have crashed under it.
    /// Returns false if the request has to wait.
    bool tryStart(TimePoint now);
    /// Refuses the request if it is queued and can no longer be answered before its deadline.
    void refuseIfLate(TimePoint now);

private:
    static constexpr Milliseconds MinRetryAfter{100};
    static constexpr std::string_view CallerClosed = "caller has closed its connection";

    struct Attempt {
        UpstreamPool::AttemptId id = 0;
        RegisteredUpstream upstream;
        TimePoint started;
        double faultProbability = 0;
        std::shared_ptr<Exchange> exchange;
    };

    /// Refuses the request if a newer configuration has withdrawn its key. Returns whether it did.
    bool refuseWithoutAccess(TimePoint now);
    bool isFinalAttempt() const;
    Milliseconds expectedWait(TimePoint now) const;
    Milliseconds timeLeft(TimePoint now) const;
    /// Whether the instance may end before an attempt that starts now.
    bool mayOutlastStop(TimePoint now) const;
    /// Time by which the request has to be answered.
    TimePoint latestEnd() const;
    void startAttempt(const UpstreamPool::Choice &choice, TimePoint now);
    void enqueue(TimePoint now);
    void dequeue();
    bool refuseWithoutUpstream(TimePoint now);
    void onResult(UpstreamPool::AttemptId id, ExchangeResult result);
    /// Records whether the upstream has crashed under the request or is alive.
    void recordHealth(const Attempt &attempt, const ExchangeResult &result, TimePoint now);
    void onNotRun(const Attempt &attempt, AttemptOutcome outcome, TimePoint now);
    void onFailed(TimePoint now);
    void armHedgeTimer(double faultProbability, TimePoint now);
    void onHedgeTimer();
    /// Starts a further attempt of an idempotent request, if a slot is free and the retry budget holds at least
    /// `minRetries`.
    bool startRetry(double minRetries, TimePoint now);
    void onDeadline();
    void refuse(std::string_view detail, TimePoint now);
    /// Refuses the request as not run. The caller may come back at `until`.
    void refuseUntil(TimePoint until, std::string_view detail, TimePoint now);
    void giveUp(http::status status, std::string_view detail, TimePoint now);
    void answer(CallerAnswer answer, Outcome outcome, std::string_view detail, TimePoint now);
    void endAttempts(TimePoint now);
    void reportAttempt(
        const Attempt &attempt, AttemptOutcome outcome, unsigned status, std::string_view detail, TimePoint now) const;

    Forwarder &m_forwarder;
    ForwardedRequest m_request;
    std::shared_ptr<const RouteTable> m_table; ///< owns m_route
    const Route &m_route;
    unsigned m_priority; ///< 0 is the most urgent
    RequestQueue::Owner m_owner;
    std::string m_quotaOwner; ///< organisation whose quota the request has used; empty: none
    ServiceState &m_service;
    LatencyModel &m_latency;
    Forwarder::Handler m_handler;
    asio::steady_timer m_deadlineTimer;
    asio::steady_timer m_hedgeTimer;
    TimePoint m_deadline;
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_triedUpstreams;
    std::optional<RequestQueue::Entry> m_queueEntry;
    std::optional<CallerAnswer> m_failureAnswer; ///< answer of an upstream that ran the request and failed
    std::optional<TimePoint> m_firstAttemptAt;
    unsigned m_runs = 0; ///< number of attempts that may have run
    bool m_callerClosed = false;
    RequestDigest m_digest;
    std::shared_ptr<std::set<Forwarding *>> m_active; ///< contains this object
};

} // namespace laburnumspar::detail
