#include "detail/peercomparison.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::detail {

namespace {

/// An attempt is slow above this multiple of the median of the peers: about 6% of attempts with exponentially
/// distributed run times, and nearly all attempts at an upstream that is 10 times slower.
constexpr int SlowFactor = 4;
/// A slow attempt is very slow above this multiple of the slow limit.
constexpr int VerySlowFactor = 3;
/// Scheduling delays of the instances and upstreams alone reach some milliseconds.
constexpr Microseconds MinimumSlow{20000};

/// Shares of slow and of very slow attempts at a faulty upstream. With 0.7 in all an upstream that is twice as slow as
/// its peers passes. They add up with the share of fast attempts to 1, else chance alone drives the sum up.
constexpr double FaultySlow = 0.45;
constexpr double FaultyVerySlow = 0.25;
constexpr double FaultyFast = 1 - FaultySlow - FaultyVerySlow;
/// Share of failed attempts at a faulty upstream.
constexpr double FaultyFailed = 0.3;
/// Rates below these are not trusted, as they would make single events decisive.
constexpr double MinimumSlowRate = 0.02;
constexpr double MinimumVerySlowRate = 0.0025;
/// Above this rate the event is common among the peers, so a good sample says nothing either.
constexpr double MaximumRate = 0.5;
/// Enough for rates near the least ones, and bounds the cost of a comparison in large pools.
constexpr std::size_t MaximumPeers = 16;
/// Evidence below this decides nothing, so it is not worth the exact computation.
constexpr double RoughScore = 5;

enum class Mark : std::uint8_t {
    Neutral,
    Good,
    Bad,
    VeryBad,
};

double minimumRate(EvidenceKind kind)
{
    switch (kind) {
    case EvidenceKind::Timeout:
        return 0.01; // a short deadline of the caller is a cause as well
    case EvidenceKind::Truncated:
        return 0.001; // never occurs in normal operation
    default:
        return 0.005;
    }
}

bool isFailure(EvidenceKind kind)
{
    return kind == EvidenceKind::Timeout || kind == EvidenceKind::Error || kind == EvidenceKind::Truncated
        || kind == EvidenceKind::ConnectFailed;
}

Mark timeMark(const Sample &sample, std::optional<Microseconds> slowAfter)
{
    const bool ended = sample.kind == EvidenceKind::Success;
    if (!ended && sample.kind != EvidenceKind::Overdue && sample.kind != EvidenceKind::Timeout) {
        return Mark::Neutral;
    }
    if (!slowAfter || sample.runTime <= *slowAfter) {
        // The final run time of an attempt that did not end is not known to be short.
        return ended ? Mark::Good : Mark::Neutral;
    }
    return sample.runTime > VerySlowFactor * *slowAfter ? Mark::VeryBad : Mark::Bad;
}

Mark failureMark(const Sample &sample)
{
    if (isFailure(sample.kind)) {
        return Mark::Bad;
    }
    return sample.kind == EvidenceKind::Success ? Mark::Good : Mark::Neutral;
}

void count(EvidenceCounts &counts, const Sample &sample, std::optional<Microseconds> slowAfter)
{
    const auto time = timeMark(sample, slowAfter);
    counts.timed += time != Mark::Neutral ? 1 : 0;
    counts.slow += time == Mark::Bad || time == Mark::VeryBad ? 1 : 0;
    counts.verySlow += time == Mark::VeryBad ? 1 : 0;
    const auto failure = failureMark(sample);
    counts.ended += failure != Mark::Neutral ? 1 : 0;
    if (failure == Mark::Bad) {
        counts.failed += 1;
        counts.failedBy[static_cast<std::size_t>(sample.kind)] += 1;
    }
}

/// Rate with half an event added, so that little evidence gives a high rate and proves little.
double rate(double events, double all)
{
    return (events + 0.5) / (all + 1);
}

/// Logarithms of the odds that a sample adds.
class Weights
{
public:
    /// `recent`: counts of the peers since the assumed beginning of the fault; `all`: over the whole window.
    Weights(const EvidenceCounts &recent, const EvidenceCounts &all)
    {
        const auto larger = [&](double EvidenceCounts::*events, double EvidenceCounts::*total, double least) {
            return std::max({least, rate(recent.*events, recent.*total), rate(all.*events, all.*total)});
        };
        const double slow = larger(&EvidenceCounts::slow, &EvidenceCounts::timed, MinimumSlowRate);
        const double verySlow = larger(&EvidenceCounts::verySlow, &EvidenceCounts::timed, MinimumVerySlowRate);
        m_slow = std::log(FaultySlow / slow);
        // Very slow is never weaker evidence than slow.
        m_verySlow = std::max(m_slow, std::log(FaultyVerySlow / std::min(slow, verySlow)));
        m_fast = std::log(FaultyFast / (1 - std::min(slow, MaximumRate)));
        const double failed = larger(&EvidenceCounts::failed, &EvidenceCounts::ended, 0);
        // At least a small step down, else nothing speaks for an upstream among failing peers.
        m_ended = std::min(-0.05, std::log((1 - FaultyFailed) / (1 - std::min(failed, MaximumRate))));
        for (std::size_t n = 0; n < m_failed.size(); ++n) {
            const double kind = std::max(rate(recent.failedBy[n], recent.ended), rate(all.failedBy[n], all.ended));
            m_failed[n] = std::log(FaultyFailed / std::max(kind, minimumRate(static_cast<EvidenceKind>(n))));
        }
    }

    double time(Mark mark) const
    {
        switch (mark) {
        case Mark::Neutral:
            return 0;
        case Mark::Good:
            return m_fast;
        case Mark::Bad:
            return m_slow;
        case Mark::VeryBad:
            break;
        }
        return m_verySlow;
    }

    double failure(const Sample &sample) const
    {
        const auto mark = failureMark(sample);
        if (mark == Mark::Neutral) {
            return 0;
        }
        return mark == Mark::Good ? m_ended : m_failed[static_cast<std::size_t>(sample.kind)];
    }

private:
    double m_slow = 0;
    double m_verySlow = 0;
    double m_fast = 0;
    double m_ended = 0;
    std::array<double, EnumNames<EvidenceKind>::Names.size()> m_failed{};
};

/// The upper middle value; 0 if there are none.
Microseconds medianOf(std::vector<Microseconds> values)
{
    if (values.empty()) {
        return Microseconds(0);
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::optional<Microseconds> limitFor(Microseconds median)
{
    if (median == Microseconds(0)) {
        return std::nullopt;
    }
    return std::max(SlowFactor * median, MinimumSlow);
}

} // namespace

PeerComparison::PeerComparison(std::vector<Entry> entries)
    : m_entries(std::move(entries))
{
    for (const auto &entry : m_entries) {
        m_medians.push_back(entry.window->medianRunTime());
    }
}

std::optional<Microseconds> PeerComparison::slowAfter(std::size_t n) const
{
    std::vector<Microseconds> medians;
    for (std::size_t peer = 0; peer < m_entries.size(); ++peer) {
        if (peer != n && m_entries[peer].reference && m_medians[peer] > Microseconds(0)) {
            medians.push_back(m_medians[peer]);
        }
    }
    return limitFor(medianOf(std::move(medians)));
}

std::optional<Microseconds> PeerComparison::slowAfter() const
{
    return slowAfter(m_entries.size());
}

EvidenceCounts
PeerComparison::peerCounts(std::size_t n, std::optional<TimePoint> from, std::optional<Microseconds> slowAfter) const
{
    EvidenceCounts counts;
    std::size_t peers = 0;
    for (std::size_t step = 1; step < m_entries.size() && peers < MaximumPeers; ++step) {
        const auto &entry = m_entries[(n + step) % m_entries.size()];
        if (!entry.reference) {
            continue;
        }
        ++peers;
        const auto &samples = entry.window->samples();
        for (auto it = samples.rbegin(); it != samples.rend() && (!from || it->at >= *from); ++it) {
            count(counts, *it, slowAfter);
        }
    }
    return counts;
}

Suspicion
PeerComparison::roughSuspicion(std::size_t n, const EvidenceCounts &all, std::optional<Microseconds> slowAfter) const
{
    const Weights weights(all, all);
    Suspicion sum;
    for (const auto &sample : m_entries[n].window->samples()) {
        sum.slow = std::max(0.0, sum.slow + weights.time(timeMark(sample, slowAfter)));
        sum.failure = std::max(0.0, sum.failure + weights.failure(sample));
    }
    return sum;
}

Suspicion PeerComparison::suspicion(std::size_t n) const
{
    const auto limit = slowAfter(n);
    const auto &samples = m_entries[n].window->samples();
    const auto bad = [&](const Sample &sample) {
        const auto time = timeMark(sample, limit);
        return time == Mark::Bad || time == Mark::VeryBad || failureMark(sample) == Mark::Bad;
    };
    auto first = std::find_if(samples.begin(), samples.end(), bad);
    if (first == samples.end()) {
        return {};
    }
    const auto all = peerCounts(n, std::nullopt, limit);
    const auto rough = roughSuspicion(n, all, limit);
    if (std::max(rough.slow, rough.failure) < RoughScore) {
        return rough;
    }
    Suspicion strongest;
    // The strongest sum begins with a bad sample.
    for (; first != samples.end(); first = std::find_if(first + 1, samples.end(), bad)) {
        const Weights weights(peerCounts(n, first->at, limit), all);
        Suspicion sum;
        for (auto it = first; it != samples.end(); ++it) {
            sum.slow += weights.time(timeMark(*it, limit));
            sum.failure += weights.failure(*it);
        }
        strongest.slow = std::max(strongest.slow, sum.slow);
        strongest.failure = std::max(strongest.failure, sum.failure);
    }
    return strongest;
}

Suspicion PeerComparison::sumSince(std::size_t n, TimePoint from) const
{
    Suspicion sum;
    const auto limit = slowAfter(n);
    const auto all = peerCounts(n, std::nullopt, limit);
    const Weights weights(all, all);
    for (const auto &sample : m_entries[n].window->samples()) {
        if (sample.sentAt >= from) {
            sum.slow += weights.time(timeMark(sample, limit));
            sum.failure += weights.failure(sample);
        }
    }
    return sum;
}

} // namespace laburnumspar::detail
