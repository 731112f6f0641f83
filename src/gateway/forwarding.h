#pragma once

#include "gateway/forwarder.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar::detail {

/// One request of a caller on its way to an answer.
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

    void start();
    /// The caller has gone.
    void abandon();
    /// A slot may be free. True if the request does not wait any more.
    bool tryStart(TimePoint now);
    /// Refuses the request if it cannot be answered in time any more.
    void checkWait(TimePoint now);

private:
    struct Attempt {
        UpstreamPool::AttemptId id = 0;
        std::string upstream;
        TimePoint started;
        double faultProbability = 0;
        std::shared_ptr<Exchange> exchange;
    };

    bool isLastChance() const;
    Milliseconds expectedWait(TimePoint now) const;
    Milliseconds left(TimePoint now) const;
    void launch(const UpstreamPool::Choice &choice, TimePoint now);
    void wait(TimePoint now);
    void stopWaiting();
    void onResult(UpstreamPool::AttemptId id, ExchangeResult result);
    void onNotRun(const Attempt &attempt, AttemptOutcome end, TimePoint now);
    void onFailed(TimePoint now);
    void armHedge(double faultProbability, TimePoint now);
    void onHedgeTime();
    bool startSecond(TimePoint now);
    void onDeadline();
    void refuse(std::string_view detail, TimePoint now);
    void giveUp(http::status status, std::string_view detail, TimePoint now);
    void answer(CallerAnswer answer, Outcome outcome, std::string_view detail, TimePoint now);
    void endAttempts(TimePoint now);
    void reportAttempt(
        const Attempt &attempt, AttemptOutcome end, unsigned status, std::string_view detail, TimePoint now) const;

    Forwarder &m_forwarder;
    ForwardedRequest m_request;
    std::shared_ptr<const RouteTable> m_table; ///< keeps the route
    const Route &m_route;
    ServiceLine &m_line;
    LatencyModel &m_latency;
    Forwarder::Handler m_handler;
    asio::steady_timer m_deadlineTimer;
    asio::steady_timer m_hedgeTimer;
    TimePoint m_deadline;
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_tried;
    std::optional<RequestQueue::Entry> m_place;
    std::optional<CallerAnswer> m_failureAnswer; ///< of an upstream that ran the request and failed
    std::optional<TimePoint> m_firstStart;
    unsigned m_runs = 0; ///< attempts which may have run
    bool m_gone = false;
};

} // namespace laburnumspar::detail
