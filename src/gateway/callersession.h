#pragma once

#include "gateway/forwarding.h"

#include <memory>
#include <optional>
#include <set>

namespace laburnumspar::detail {

class CallerSession;

/// What the connections of all callers share. Outlives them.
struct CallerSessions {
    asio::io_context &context;
    Forwarder &forwarder;
    const ServiceRegistry &serviceRegistry;
    const ForwardingHeaders &headers;
    MemoryBudget &memory;
    std::set<CallerSession *> open{};
    bool closing = false; ///< connections are closed after the next answer
    std::optional<TimePoint> refuseFrom{}; ///< requests that are read later are refused as not run

    CallerLimits limits() const
    {
        return serviceRegistry.routes() ? serviceRegistry.routes()->limits() : CallerLimits();
    }
    bool isRefusing(TimePoint now) const
    {
        return refuseFrom && now >= *refuseFrom;
    }
};

/// A connection of a caller. Handles one request at a time, and keeps itself alive while it waits for its socket, for
/// the answer to a request or for the end of a write.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(std::shared_ptr<CallerSessions> sessions, tcp::socket socket);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    void waitForRequest();
    void closeIfIdle();
    /// Refuses the request that is being read, or waits for the first routes, as not run, because the instance stops.
    void refuseUnforwarded();
    /// Closes the connection. A request that is being forwarded is abandoned.
    void abort();
    /// Logs the request if it has been read and its answer has not been written. Must be called before the process
    /// exits, which does not destroy sessions.
    void logIfUnanswered() const;
    bool hasRequest() const;

private:
    enum class Phase : std::uint8_t {
        Idle,
        Reading,
        Waiting, ///< for the first routes or the answer of an upstream
        Writing,
        Draining, ///< the last answer has been written; unread bytes would reset the connection on a close
        Closed,
    };

    void armIdleTimer();
    void watch();
    void onReadable();
    void readFirstBytes();
    void readEarlyBytes();
    void pollForClose();
    void onCallerClosed();
    void readHeader();
    void onHeader(error_code ec);
    void readBody();
    void readBodyPart();
    void onBodyPart(error_code ec);
    void refuseForMemory(std::size_t bytes);
    void onMessage();
    void forward();
    void write(CallerAnswer answer, bool closeAfter);
    void onWritten(error_code ec);
    void drain();
    void refuseRead(std::string_view reason);
    void refuse(http::status status, std::string_view detail, Milliseconds retryAfter = Milliseconds(0));
    void refuseBadInput(error_code ec);
    void close();

    std::shared_ptr<CallerSessions> m_sessions;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::steady_timer m_closeTimer; ///< of pollForClose()
    beast::flat_buffer m_buf;
    std::optional<http::request_parser<BudgetedBody>> m_parser;
    MemoryReservation m_earlyBytes; ///< what m_buf holds of later requests
    ForwardedRequest m_request;
    std::string m_requestId; ///< of the last request that was read completely
    TimePoint m_arrived; ///< when it was read
    std::shared_ptr<Forwarding> m_forwarding;
    std::string m_head;
    MessageBody m_body;
    TimePoint m_idleSince;
    Phase m_phase = Phase::Idle;
    bool m_keepAlive = true;
    bool m_headOnly = false;
    bool m_closeAfter = false;
    bool m_unread = false; ///< the last request has been refused before it was read
    bool m_watching = false; ///< a wait for readability is pending
    bool m_callerClosed = false; ///< the caller sends nothing more
};

} // namespace laburnumspar::detail
