#pragma once

#include "laburnumspar/types.h"

#include <csignal>

#include <optional>
#include <vector>

namespace laburnumspar::detail {

/// Records when the first of some signals arrives, also while the event loop is busy, and passes each on to the handler
/// that was installed before. One object at a time.
class SignalTime
{
public:
    /// To be created after the asio::signal_set for these signals, and destroyed before it. Throws InvariantError if
    /// there is another object.
    explicit SignalTime(std::vector<int> signals);
    ~SignalTime();
    SignalTime(const SignalTime &) = delete;
    SignalTime &operator=(const SignalTime &) = delete;

    std::optional<TimePoint> first() const;

private:
    std::vector<int> m_signals;
};

} // namespace laburnumspar::detail
