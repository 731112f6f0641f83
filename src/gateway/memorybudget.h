#pragma once

#include "laburnumspar/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace laburnumspar::detail {

/// What memory is held for.
enum class MemoryUse : std::uint8_t {
    Request, ///< body of a request, until its last attempt has ended
    Answer, ///< body of an answer, until it has been written to the caller
    EarlyBytes, ///< bytes of later requests on a connection
};
constexpr std::array MemoryUses{MemoryUse::Request, MemoryUse::Answer, MemoryUse::EarlyBytes};

std::string_view useName(MemoryUse use);

/// Memory of the process for what is held of requests and answers. Has to outlive its reservations. Not thread-safe.
class MemoryBudget
{
public:
    /// `limit`: bytes of all reservations together.
    explicit MemoryBudget(std::size_t limit);
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Measures how fast memory is released, and returns freed memory to the system. To be called periodically.
    void tick(TimePoint now);
    /// Expected time until a request of this size fits. Null if it is larger than requests may ever be.
    std::optional<Milliseconds> expectedWait(std::size_t bytes) const;

    std::size_t limit() const
    {
        return m_limit;
    }
    std::size_t held() const
    {
        return m_held;
    }
    /// Number of reservations that did not fit.
    std::uint64_t refused(MemoryUse use) const
    {
        return m_refused[std::size_t(use)];
    }

private:
    friend class MemoryReservation;

    std::size_t limitFor(MemoryUse use, std::size_t bytes) const;
    bool fits(MemoryUse use, std::size_t oldBytes, std::size_t newBytes) const;
    void exchange(std::size_t oldBytes, std::size_t newBytes);

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::size_t m_peak = 0; ///< of m_held, since freed memory was returned last
    std::size_t m_released = 0; ///< since the last tick
    double m_releaseRate = 0; ///< bytes per second, smoothed
    std::optional<TimePoint> m_lastTick;
    std::array<std::uint64_t, MemoryUses.size()> m_refused{};
};

/// A part of a budget, released at its end. Without a budget, any size fits and nothing is counted.
class MemoryReservation
{
public:
    MemoryReservation() = default;
    MemoryReservation(MemoryBudget &budget, MemoryUse use);
    ~MemoryReservation();
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&other) noexcept;

    /// Changes the size. Returns false, and keeps the old size, if the new one does not fit.
    bool resize(std::size_t bytes);
    /// Changes the size to that of memory that is in use already, whether it fits or not.
    void hold(std::size_t bytes);
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    MemoryBudget *m_budget = nullptr;
    MemoryUse m_use = MemoryUse::Request;
    std::size_t m_bytes = 0;
};

/// Makes the allocator return large blocks to the system as soon as they are freed.
void returnLargeBlocksWhenFreed();

} // namespace laburnumspar::detail
