#pragma once

#include "laburnumspar/messages.h"
#include "laburnumspar/upstreamdialect.h"
#include "net/faultinjector.h"
#include "net/io.h"

#include <map>
#include <mutex>

namespace laburnumspar::detail {

/// How one attempt at an upstream ended.
struct AttemptResult {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    UpstreamAnswer answer; ///< valid if the outcome is Answered, or where an answer came with a fault
};

/// Sends requests to upstreams over pooled HTTP/1.1 connections.
class UpstreamClient
{
public:
    struct Limits {
        Milliseconds connectTimeout{250};
        std::uint64_t maxAnswerBytes = MaxBodyBytes; ///< any answer may have to be forwarded
    };

    UpstreamClient(const UpstreamDialect &dialect, const FaultInjector &faults, Limits limits);

    /// One attempt. Cancelling closes the connection, which tells the upstream to stop.
    awaitable<AttemptResult> call(UpstreamId upstream,
                                  UpstreamRequest request,
                                  unsigned maxConnections,
                                  TimePoint deadline,
                                  CancellationPtr cancellation);
    /// Asks the health endpoint.
    awaitable<AttemptResult> probe(UpstreamId upstream, unsigned maxConnections, TimePoint deadline);

    /// Open connections to an upstream, idle ones included.
    unsigned openConnections(const UpstreamId &upstream) const;
    std::uint64_t reusedConnections() const
    {
        return m_reused;
    }

private:
    using Stream = beast::tcp_stream;
    struct Pool {
        std::vector<tcp::socket> idle;
        unsigned open = 0;
    };
    class Lease;

    awaitable<AttemptResult> exchange(UpstreamId upstream,
                                      HttpMessage message,
                                      std::string requestId,
                                      unsigned maxConnections,
                                      TimePoint deadline,
                                      CancellationPtr cancellation);
    awaitable<Reason> connect(Lease &lease, const UpstreamId &upstream, TimePoint deadline);
    std::optional<tcp::socket> takeIdle(const UpstreamId &upstream);
    bool reserve(const UpstreamId &upstream, unsigned maxConnections);
    void release(const UpstreamId &upstream, std::optional<tcp::socket> reusable);

    const UpstreamDialect &m_dialect;
    const FaultInjector &m_faults;
    Limits m_limits;
    mutable std::mutex m_mutex; // lock rank: Links
    std::map<UpstreamId, Pool> m_pools;
    std::atomic<std::uint64_t> m_reused = 0;
};

} // namespace laburnumspar::detail
