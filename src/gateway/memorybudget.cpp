#include "gateway/memorybudget.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace laburnumspar::detail {

namespace {

/// The limit divided by this is kept for answers: a request that has run must not fail for lack of memory because
/// requests that have not run hold all of it.
constexpr std::size_t LimitPerAnswerReserve = 8;
/// The limit divided by this is kept for small requests, which a few large ones would otherwise crowd out.
constexpr std::size_t LimitPerSmallReserve = 16;
constexpr std::size_t SmallRequestBytes = 64 << 10;
/// Freed memory is returned to the system when more than the limit divided by this is unused.
constexpr std::size_t LimitPerUnusedMemory = 8;
/// Weight of the newest value in the exponential moving average of the release rate.
constexpr double RateSmoothing = 0.2;
constexpr Milliseconds MinExpectedWait{100};
constexpr Milliseconds MaxExpectedWait{2000};
/// Blocks of this size or more are mapped apart. The allocator would otherwise raise the size to that of the largest
/// body, and keep freed bodies in its heap.
constexpr int LargeBlockBytes = 4 << 20;
/// Free memory at the end of the heap that the allocator keeps.
constexpr int KeptHeapBytes = 8 << 20;

constexpr std::array<std::string_view, MemoryUses.size()> UseNames{"request", "answer", "early-bytes"};

} // namespace

std::string_view useName(MemoryUse use)
{
    return UseNames[std::size_t(use)];
}

MemoryBudget::MemoryBudget(std::size_t limit)
    : m_limit(limit)
{
}

std::size_t MemoryBudget::limitFor(MemoryUse use, std::size_t bytes) const
{
    const auto withoutAnswers = m_limit - m_limit / LimitPerAnswerReserve;
    if (use == MemoryUse::Answer) {
        return m_limit;
    }
    return bytes <= SmallRequestBytes ? withoutAnswers : withoutAnswers - m_limit / LimitPerSmallReserve;
}

bool MemoryBudget::fits(MemoryUse use, std::size_t oldBytes, std::size_t newBytes) const
{
    const auto limit = limitFor(use, newBytes);
    return newBytes <= oldBytes || (newBytes <= limit && m_held - oldBytes <= limit - newBytes);
}

void MemoryBudget::exchange(std::size_t oldBytes, std::size_t newBytes)
{
    m_held = m_held - oldBytes + newBytes;
    m_peak = std::max(m_peak, m_held);
    m_released += oldBytes > newBytes ? oldBytes - newBytes : 0;
}

void MemoryBudget::tick(TimePoint now)
{
    const auto released = std::exchange(m_released, 0);
    const auto lastTick = std::exchange(m_lastTick, now);
    if (lastTick && now > *lastTick) {
        const double seconds = std::chrono::duration<double>(now - *lastTick).count();
        m_releaseRate += RateSmoothing * (double(released) / seconds - m_releaseRate);
    }
    // Freed blocks between others that are in use would stay with the process, beside new blocks of other sizes.
    if (m_peak - m_held > m_limit / LimitPerUnusedMemory) {
        ::malloc_trim(0);
        m_peak = m_held;
    }
}

std::optional<Milliseconds> MemoryBudget::expectedWait(std::size_t bytes) const
{
    const auto limit = limitFor(MemoryUse::Request, bytes);
    if (bytes > limit) {
        return std::nullopt;
    }
    const auto missing = double(m_held + bytes) - double(limit);
    // At a rate of 0, the result is the longest wait.
    const double seconds = missing / std::max(m_releaseRate, 1.0);
    const auto longest = std::chrono::duration<double>(MaxExpectedWait).count();
    return std::max(MinExpectedWait, Milliseconds(std::int64_t(1000 * std::clamp(seconds, 0.0, longest))));
}

MemoryReservation::MemoryReservation(MemoryBudget &budget, MemoryUse use)
    : m_budget(&budget)
    , m_use(use)
{
}

MemoryReservation::~MemoryReservation()
{
    hold(0);
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : m_budget(other.m_budget)
    , m_use(other.m_use)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

MemoryReservation &MemoryReservation::operator=(MemoryReservation &&other) noexcept
{
    if (this != &other) {
        hold(0);
        m_budget = other.m_budget;
        m_use = other.m_use;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool MemoryReservation::resize(std::size_t bytes)
{
    if (m_budget != nullptr && !m_budget->fits(m_use, m_bytes, bytes)) {
        ++m_budget->m_refused[std::size_t(m_use)];
        return false;
    }
    hold(bytes);
    return true;
}

void MemoryReservation::hold(std::size_t bytes)
{
    const auto oldBytes = std::exchange(m_bytes, bytes);
    if (m_budget != nullptr) {
        m_budget->exchange(oldBytes, bytes);
    }
}

void returnLargeBlocksWhenFreed()
{
    ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, KeptHeapBytes);
}

} // namespace laburnumspar::detail
