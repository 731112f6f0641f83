#include "detail/peercomparison.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::detail {

namespace {

/// An attempt is slow above this multiple of the median of the peers. This holds for about 6% of attempts with
/// exponentially distributed run times, and for nearly all attempts at an upstream that is 10 times slower.
constexpr int SlowFactor = 4;
/// An attempt is very slow above this multiple of the slow threshold.
constexpr int VerySlowFactor = 3;
/// Lower bound of the slow threshold. Scheduling delays of the instances and upstreams alone reach some milliseconds.
constexpr Microseconds MinSlowThreshold{20000};

/// Assumed rates of slow, very slow and fast attempts at a faulty upstream. With 0.7 for slow and very slow together,
/// an upstream that is twice as slow as its peers is accepted. The three rates must add up to 1, or random variation
/// alone would raise the score.
constexpr double FaultySlowRate = 0.45;
constexpr double FaultyVerySlowRate = 0.25;
constexpr double FaultyFastRate = 1 - FaultySlowRate - FaultyVerySlowRate;
/// Assumed rate of failed attempts at a faulty upstream.
constexpr double FaultyFailureRate = 0.3;
/// Lower bounds of the rates of the peers. With lower rates a single slow attempt would decide.
constexpr double MinSlowRate = 0.02;
constexpr double MinVerySlowRate = 0.0025;
/// Upper bound of the rates of the peers in the weight of a good sample. Events above this rate are common among the
/// peers, so a sample without the event is not evidence of a fault either.
constexpr double MaxPeerRate = 0.5;
/// Enough samples to measure rates close to the lower bounds; limits the cost of a comparison in large pools.
constexpr std::size_t MaxPeers = 16;
/// Lower scores cause no change of state, so they are not computed exactly.
constexpr double MinExactScore = 5;

enum class Rating : std::uint8_t {
    Neutral,
    Good,
    Bad,
    VeryBad,
};

/// Lower bound of the rate of a kind of failure among the peers.
double minRate(EvidenceKind kind)
{
    switch (kind) {
    case EvidenceKind::Timeout:
        return 0.01; // also caused by short deadlines of callers
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

Rating runTimeRating(const Sample &sample, std::optional<Microseconds> slowThreshold)
{
    const bool succeeded = sample.kind == EvidenceKind::Success;
    if (!succeeded && sample.kind != EvidenceKind::Overdue && sample.kind != EvidenceKind::Timeout) {
        return Rating::Neutral;
    }
    if (!slowThreshold || sample.runTime <= *slowThreshold) {
        // An attempt that is overdue or timed out might have run longer, so it does not count as fast.
        return succeeded ? Rating::Good : Rating::Neutral;
    }
    return sample.runTime > VerySlowFactor * *slowThreshold ? Rating::VeryBad : Rating::Bad;
}

Rating failureRating(const Sample &sample)
{
    if (isFailure(sample.kind)) {
        return Rating::Bad;
    }
    return sample.kind == EvidenceKind::Success ? Rating::Good : Rating::Neutral;
}

void countSample(EvidenceCounts &counts, const Sample &sample, std::optional<Microseconds> slowThreshold)
{
    const auto time = runTimeRating(sample, slowThreshold);
    counts.timed += time != Rating::Neutral ? 1 : 0;
    counts.slow += time == Rating::Bad || time == Rating::VeryBad ? 1 : 0;
    counts.verySlow += time == Rating::VeryBad ? 1 : 0;
    const auto failure = failureRating(sample);
    counts.ended += failure != Rating::Neutral ? 1 : 0;
    if (failure == Rating::Bad) {
        counts.failed += 1;
        counts.failedBy[static_cast<std::size_t>(sample.kind)] += 1;
    }
}

/// Rate with half an event added, so that few samples give a high rate and thus weak evidence.
double smoothedRate(double events, double all)
{
    return (events + 0.5) / (all + 1);
}

/// Natural logarithms of the likelihood ratios that samples add to the scores.
class LogLikelihoodRatios
{
public:
    /// `recent` counts the samples of the peers since the assumed start of the fault, `all` their whole windows.
    LogLikelihoodRatios(const EvidenceCounts &recent, const EvidenceCounts &all)
    {
        const auto higherRate = [&](double EvidenceCounts::*events, double EvidenceCounts::*total, double lowerBound) {
            return std::max(
                {lowerBound, smoothedRate(recent.*events, recent.*total), smoothedRate(all.*events, all.*total)});
        };
        const double slow = higherRate(&EvidenceCounts::slow, &EvidenceCounts::timed, MinSlowRate);
        const double verySlow = higherRate(&EvidenceCounts::verySlow, &EvidenceCounts::timed, MinVerySlowRate);
        m_slow = std::log(FaultySlowRate / slow);
        // A very slow attempt is never weaker evidence than a slow one.
        m_verySlow = std::max(m_slow, std::log(FaultyVerySlowRate / std::min(slow, verySlow)));
        m_fast = std::log(FaultyFastRate / (1 - std::min(slow, MaxPeerRate)));
        const double failed = higherRate(&EvidenceCounts::failed, &EvidenceCounts::ended, 0);
        // A success always lowers the score; otherwise an upstream among failing peers could not be cleared.
        m_succeeded = std::min(-0.05, std::log((1 - FaultyFailureRate) / (1 - std::min(failed, MaxPeerRate))));
        for (std::size_t n = 0; n < m_failed.size(); ++n) {
            const double kindRate
                = std::max(smoothedRate(recent.failedBy[n], recent.ended), smoothedRate(all.failedBy[n], all.ended));
            m_failed[n] = std::log(FaultyFailureRate / std::max(kindRate, minRate(static_cast<EvidenceKind>(n))));
        }
    }

    double runTime(Rating rating) const
    {
        switch (rating) {
        case Rating::Neutral:
            return 0;
        case Rating::Good:
            return m_fast;
        case Rating::Bad:
            return m_slow;
        case Rating::VeryBad:
            break;
        }
        return m_verySlow;
    }

    double failure(const Sample &sample) const
    {
        const auto rating = failureRating(sample);
        if (rating == Rating::Neutral) {
            return 0;
        }
        return rating == Rating::Good ? m_succeeded : m_failed[static_cast<std::size_t>(sample.kind)];
    }

private:
    double m_slow = 0;
    double m_verySlow = 0;
    double m_fast = 0;
    double m_succeeded = 0;
    std::array<double, EnumNames<EvidenceKind>::Names.size()> m_failed{};
};

/// Upper median; 0 if there are no values.
Microseconds medianOf(std::vector<Microseconds> values)
{
    if (values.empty()) {
        return Microseconds(0);
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::optional<Microseconds> slowThresholdFor(Microseconds median)
{
    if (median == Microseconds(0)) {
        return std::nullopt;
    }
    return std::max(SlowFactor * median, MinSlowThreshold);
}

} // namespace

PeerComparison::PeerComparison(std::vector<Entry> entries)
    : m_entries(std::move(entries))
{
    for (const auto &entry : m_entries) {
        m_medians.push_back(entry.window->medianRunTime());
    }
}

std::optional<Microseconds> PeerComparison::slowThreshold(std::size_t n) const
{
    std::vector<Microseconds> medians;
    for (std::size_t peer = 0; peer < m_entries.size(); ++peer) {
        if (peer != n && m_entries[peer].reference && m_medians[peer] > Microseconds(0)) {
            medians.push_back(m_medians[peer]);
        }
    }
    return slowThresholdFor(medianOf(std::move(medians)));
}

std::optional<Microseconds> PeerComparison::slowThreshold() const
{
    return slowThreshold(m_entries.size());
}

EvidenceCounts PeerComparison::peerCounts(std::size_t n,
                                          std::optional<TimePoint> from,
                                          std::optional<Microseconds> slowThreshold) const
{
    EvidenceCounts counts;
    std::size_t peers = 0;
    for (std::size_t step = 1; step < m_entries.size() && peers < MaxPeers; ++step) {
        const auto &entry = m_entries[(n + step) % m_entries.size()];
        if (!entry.reference) {
            continue;
        }
        ++peers;
        const auto &samples = entry.window->samples();
        for (auto it = samples.rbegin(); it != samples.rend() && (!from || it->at >= *from); ++it) {
            countSample(counts, *it, slowThreshold);
        }
    }
    return counts;
}

FaultScores PeerComparison::approximateScores(std::size_t n,
                                              const EvidenceCounts &all,
                                              std::optional<Microseconds> slowThreshold) const
{
    const LogLikelihoodRatios ratios(all, all);
    FaultScores sum;
    for (const auto &sample : m_entries[n].window->samples()) {
        sum.slow = std::max(0.0, sum.slow + ratios.runTime(runTimeRating(sample, slowThreshold)));
        sum.failure = std::max(0.0, sum.failure + ratios.failure(sample));
    }
    return sum;
}

FaultScores PeerComparison::scores(std::size_t n) const
{
    const auto threshold = slowThreshold(n);
    const auto &samples = m_entries[n].window->samples();
    const auto isBad = [&](const Sample &sample) {
        const auto time = runTimeRating(sample, threshold);
        return time == Rating::Bad || time == Rating::VeryBad || failureRating(sample) == Rating::Bad;
    };
    auto first = std::find_if(samples.begin(), samples.end(), isBad);
    if (first == samples.end()) {
        return {};
    }
    const auto all = peerCounts(n, std::nullopt, threshold);
    const auto approximate = approximateScores(n, all, threshold);
    if (std::max(approximate.slow, approximate.failure) < MinExactScore) {
        return approximate;
    }
    FaultScores highest;
    // The maximum is reached by a sum that starts at a bad sample.
    for (; first != samples.end(); first = std::find_if(first + 1, samples.end(), isBad)) {
        const LogLikelihoodRatios ratios(peerCounts(n, first->at, threshold), all);
        FaultScores sum;
        for (auto it = first; it != samples.end(); ++it) {
            sum.slow += ratios.runTime(runTimeRating(*it, threshold));
            sum.failure += ratios.failure(*it);
        }
        highest.slow = std::max(highest.slow, sum.slow);
        highest.failure = std::max(highest.failure, sum.failure);
    }
    return highest;
}

FaultScores PeerComparison::scoresSince(std::size_t n, TimePoint from) const
{
    FaultScores sum;
    const auto threshold = slowThreshold(n);
    const auto all = peerCounts(n, std::nullopt, threshold);
    const LogLikelihoodRatios ratios(all, all);
    for (const auto &sample : m_entries[n].window->samples()) {
        if (sample.sentAt >= from) {
            sum.slow += ratios.runTime(runTimeRating(sample, threshold));
            sum.failure += ratios.failure(sample);
        }
    }
    return sum;
}

} // namespace laburnumspar::detail
