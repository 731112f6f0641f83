#include "gateway/callerserver.h"

#include "gateway/callersession.h"
#include "laburnumspar/log.h"

namespace laburnumspar::detail {

namespace {

/// Connections beyond this are closed at once, because file descriptors are limited.
constexpr std::size_t MaxConnections = 3000;

/// Calls a function for each session. Sessions that it closes are destroyed later.
template <typename Function>
void forEachSession(const CallerSessions &sessions, Function function)
{
    std::vector<std::shared_ptr<CallerSession>> open;
    for (auto *it : sessions.open) {
        open.push_back(it->shared_from_this());
    }
    for (const auto &it : open) {
        function(*it);
    }
}

} // namespace

CallerServer::CallerServer(asio::io_context &context,
                           const Endpoint &endpoint,
                           Forwarder &forwarder,
                           const ServiceRegistry &serviceRegistry,
                           const ForwardingHeaders &headers,
                           MemoryBudget &memory)
    : m_sessions(std::make_shared<CallerSessions>(CallerSessions{context, forwarder, serviceRegistry, headers, memory}))
    , m_listener(context, endpoint, [sessions = m_sessions](tcp::socket socket) {
        if (sessions->open.size() < MaxConnections) {
            std::make_shared<CallerSession>(sessions, std::move(socket))->waitForRequest();
        } else {
            logEvent(LogLevel::Warning, "caller.connection-limit", {{"limit", MaxConnections}});
        }
    })
{
}

CallerServer::~CallerServer()
{
    forEachSession(*m_sessions, [](CallerSession &it) { it.abort(); });
}

void CallerServer::start()
{
    m_listener.start();
}

void CallerServer::startClosing()
{
    m_sessions->closing = true;
}

void CallerServer::refuseFrom(TimePoint time)
{
    m_sessions->refuseFrom = std::min(time, m_sessions->refuseFrom.value_or(time));
}

void CallerServer::refuseUnforwarded()
{
    forEachSession(*m_sessions, [](CallerSession &it) { it.refuseUnforwarded(); });
}

void CallerServer::finishAccepting()
{
    refuseFrom(Clock::now());
    startClosing();
    m_listener.finish();
}

void CallerServer::close()
{
    m_sessions->closing = true;
    m_listener.close();
    forEachSession(*m_sessions, [](CallerSession &it) {
        it.logIfUnanswered();
        it.closeIfIdle();
    });
}

std::size_t CallerServer::connections() const
{
    return m_sessions->open.size();
}

std::size_t CallerServer::activeRequests() const
{
    return std::size_t(std::count_if(
        m_sessions->open.begin(), m_sessions->open.end(), [](const auto *session) { return session->hasRequest(); }));
}

} // namespace laburnumspar::detail
