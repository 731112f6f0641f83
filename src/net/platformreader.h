#pragma once

#include "laburnumspar/metrics.h"
#include "laburnumspar/platformdialect.h"
#include "net/replyfailure.h"

namespace laburnumspar::detail {

/// Reads settings and instance lists from the platform and watches them for changes while this instance is one of the
/// settings readers.
class PlatformReader
{
public:
    struct Context {
        asio::io_context &io;
        const PlatformDialect &dialect;
        std::vector<Endpoint> addresses; ///< of the platform service; tried in turn after failures
        MetricsRegistry &metrics;
        /// Whether this instance is currently a settings reader.
        std::function<bool()> isSettingsReader;
        /// Whether this version of a value is newer than the stored one.
        std::function<bool(const SettingsVersion &)> isNewer;
        std::function<void(const PlatformValue &)> onValue;
        std::function<void(const PlatformInstances &)> onInstances;
    };

    explicit PlatformReader(Context context);

    void start();
    void stop()
    {
        m_stopped = true;
    }
    /// Time of the last successful call; a default TimePoint if there was none.
    TimePoint lastSuccessAt() const
    {
        return m_lastSuccessAt;
    }

private:
    struct Reply {
        std::optional<std::string> body; ///< of a response with status 200
        ReplyFailure failure = ReplyFailure::None; ///< why there is no body
    };

    awaitable<void> watchValues();
    awaitable<void> pollInstances();
    /// Reads the changed values. Returns false if one of them could not be read.
    awaitable<bool> readChanges(const std::vector<SettingsVersion> &changes);
    /// Logs the invalid entries of a list, unless they are those of the last one.
    void logRejected(const PlatformInstances &instances);
    /// Counts a failure and waits until the next call may start.
    awaitable<void> waitForNextCall(TimePoint startedAt, bool failed);
    awaitable<Reply> httpGet(std::string target, Milliseconds timeout);
    /// Counts and logs a failure, unless the platform is only unavailable.
    Reply fail(std::string_view target, ReplyFailure failure, std::string_view error);
    /// Returns the result of the parser. Counts and logs a reply that cannot be decoded and returns an empty value.
    template <typename Parser>
    auto parse(std::string_view call, const Reply &reply, Parser parser)
        -> std::optional<decltype(parser(std::string()))>;

    Context m_context;
    std::vector<std::string> m_lastRejected; ///< used by pollInstances() only
    std::atomic<bool> m_stopped = false;
    std::atomic<TimePoint> m_lastSuccessAt = TimePoint();
    std::atomic<std::size_t> m_nextAddress = 0;
    Counter &m_calls;
    Counter &m_failures;
    Counter &m_rejected;
};

} // namespace laburnumspar::detail
