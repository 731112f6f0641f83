#pragma once

#include "laburnumspar/metrics.h"
#include "laburnumspar/platformdialect.h"
#include "net/io.h"

namespace laburnumspar::detail {

/// Reads and watches the platform while this instance is one of the readers.
class PlatformReader
{
public:
    struct Context {
        asio::io_context &io;
        const PlatformDialect &dialect;
        std::vector<Endpoint> platform;
        MetricsRegistry &metrics;
        /// Whether this instance is a reader now.
        std::function<bool()> isReader;
        /// Whether this version of a value is news.
        std::function<bool(const SettingsVersion &)> isNews;
        std::function<void(const PlatformValue &)> onValue;
        std::function<void(const PlatformInstances &)> onInstances;
    };

    explicit PlatformReader(Context context);

    void start();
    void stop()
    {
        m_stopped = true;
    }
    /// Time of the last successful call; the epoch if there was none.
    TimePoint lastAnswer() const
    {
        return m_lastAnswer;
    }

private:
    awaitable<void> watchValues();
    awaitable<void> pollInstances();
    /// Reads the changed values; false if one could not be read.
    awaitable<bool> readChanges(const std::vector<SettingsVersion> &changes);
    awaitable<void> idle(TimePoint begun, bool failed);
    /// Body of a 200 answer; empty on any failure.
    awaitable<std::optional<std::string>> get(std::string target, Milliseconds timeout);

    Context m_context;
    std::atomic<bool> m_stopped = false;
    std::atomic<TimePoint> m_lastAnswer = TimePoint();
    std::atomic<std::size_t> m_nextAddress = 0;
    Counter &m_calls;
    Counter &m_failures;
};

} // namespace laburnumspar::detail
