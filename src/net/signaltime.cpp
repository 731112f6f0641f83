#include "net/signaltime.h"

#include "laburnumspar/errors.h"

#include <array>
#include <atomic>

namespace laburnumspar::detail {

namespace {

constexpr Clock::rep NotReceived = -1;

// Read and written by signal handlers, which may use only lock-free objects.
std::atomic<Clock::rep> firstReceived = NotReceived;
static_assert(std::atomic<Clock::rep>::is_always_lock_free);
std::array<struct sigaction, NSIG> earlierActions{};
std::atomic<bool> inUse = false;

void recordSignal(int signal)
{
    // Clock::now() calls clock_gettime(), which is safe in a signal handler.
    auto expected = NotReceived;
    firstReceived.compare_exchange_strong(expected, Clock::now().time_since_epoch().count());
    const auto handler = earlierActions[std::size_t(signal)].sa_handler;
    if (handler != SIG_DFL && handler != SIG_IGN) {
        handler(signal);
    }
}

} // namespace

SignalTime::SignalTime(std::vector<int> signals)
    : m_signals(std::move(signals))
{
    if (inUse.exchange(true)) {
        throw InvariantError("signals are recorded by another object");
    }
    firstReceived = NotReceived;
    for (const auto it : m_signals) {
        auto &earlier = earlierActions.at(std::size_t(it));
        ::sigaction(it, nullptr, &earlier);
        struct sigaction action = earlier;
        action.sa_handler = recordSignal;
        ::sigaction(it, &action, nullptr);
    }
}

SignalTime::~SignalTime()
{
    for (const auto it : m_signals) {
        ::sigaction(it, &earlierActions.at(std::size_t(it)), nullptr);
    }
    inUse = false;
}

std::optional<TimePoint> SignalTime::first() const
{
    const auto received = firstReceived.load();
    return received == NotReceived ? std::nullopt : std::optional(TimePoint(Clock::duration(received)));
}

} // namespace laburnumspar::detail
