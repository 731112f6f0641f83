#pragma once

#include "laburnumspar/messages.h"
#include "laburnumspar/upstreamdialect.h"
#include "net/faultinjector.h"
#include "net/messagereader.h"

#include <map>
#include <mutex>

namespace laburnumspar::detail {

/// Result of one attempt to send a request to an upstream.
struct AttemptResult {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    UpstreamAnswer answer; ///< set if an answer was received, even a faulty one
};

/// Sends requests to upstreams over pooled HTTP/1.1 connections.
class UpstreamClient
{
public:
    struct Limits {
        Milliseconds connectTimeout{250};
        std::uint64_t maxAnswerBytes = MaxBodyBytes; ///< any answer may be forwarded to a peer
        std::size_t maxPendingBytes = 128 << 20; ///< of all answers that have not arrived completely
    };

    UpstreamClient(const UpstreamDialect &dialect, const FaultInjector &faults, Limits limits);

    /// Sends the request once. Cancelling closes the connection, which signals the upstream to stop.
    awaitable<AttemptResult> call(UpstreamId upstream,
                                  UpstreamRequest request,
                                  unsigned maxConnections,
                                  TimePoint deadline,
                                  CancellationPtr cancellation);
    /// Requests the health endpoint.
    awaitable<AttemptResult> probe(UpstreamId upstream, unsigned maxConnections, TimePoint deadline);

    /// Number of open connections to an upstream, including idle ones.
    unsigned openConnections(const UpstreamId &upstream) const;
    /// Number of requests sent over a connection that had been used before.
    std::uint64_t reusedConnections() const
    {
        return m_reused;
    }

private:
    using Stream = beast::tcp_stream;
    struct IdleConnection {
        tcp::socket socket;
        /// Requests that the upstream has refused on the connection. It may write a refusal once more, which would be
        /// taken for the answer if the request was sent here again.
        std::vector<std::string> refusedIds;
    };
    struct Pool {
        std::vector<IdleConnection> idle;
        unsigned open = 0; ///< connections in use or being opened
    };
    class Lease;

    awaitable<AttemptResult> exchange(UpstreamId upstream,
                                      HttpMessage message,
                                      std::string requestId,
                                      unsigned maxConnections,
                                      TimePoint deadline,
                                      CancellationPtr cancellation);
    awaitable<Reason>
    connect(Lease &lease, const UpstreamId &upstream, const std::string &requestId, TimePoint deadline);
    /// Returns an idle connection on which the upstream has not refused the request.
    std::optional<IdleConnection> takeIdle(const UpstreamId &upstream, const std::string &requestId);
    /// Counts one more connection in use. Returns false if `maxConnections` are in use already.
    bool reserveConnection(const UpstreamId &upstream, unsigned maxConnections);
    void releaseConnection(const UpstreamId &upstream, std::optional<IdleConnection> reusable);

    const UpstreamDialect &m_dialect;
    const FaultInjector &m_faults;
    Limits m_limits;
    MessageMemory m_pendingAnswers;
    mutable std::mutex m_mutex; // lock rank: Links
    std::map<UpstreamId, Pool> m_pools;
    std::atomic<std::uint64_t> m_reused = 0;
};

} // namespace laburnumspar::detail
