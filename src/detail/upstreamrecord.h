#pragma once

#include "detail/evidencewindow.h"
#include "detail/peercomparison.h"
#include "laburnumspar/health.h"

#include <array>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

constexpr std::size_t RequestClasses = EnumNames<RequestClass>::Names.size();

/// Older evidence neither confirms that an upstream is healthy nor counts against it.
constexpr std::chrono::seconds EvidenceLifetime{10};

/// Health state of one upstream of the pool, with its evidence and the limits on its requests.
class UpstreamRecord
{
public:
    explicit UpstreamRecord(const PoolMember &poolMember);

    /// Applies a changed pool entry. A change to Starting begins a ramp; a change of ownership resets the state.
    void update(const PoolMember &poolMember, TimePoint now);
    /// `slowThreshold` is the maximum run time of a good result, if known.
    void record(const Evidence &evidence, std::optional<Microseconds> slowThreshold);
    /// Discards the evidence received since `from` about attempts sent before `to`, also if it is recorded later.
    void discardPaused(TimePoint from, TimePoint to);
    void enterState(HealthState nextState, HealthReason changeReason, TimePoint now);
    /// Enters Ejected. An ejection soon after the last return doubles the exclusion.
    void eject(HealthReason changeReason, TimePoint now);
    /// Ends the throttling after a burst of failures, which has now been evaluated. Failures common to all upstreams
    /// come in bursts too, so another burst within a short time is not throttled.
    void clearFailureBurst(TimePoint now);
    /// Allows the next trial request to a suspect upstream when it is due.
    void updateTrial(TimePoint now);
    Admission admission(TimePoint now, const HealthSettings &settings) const;

    /// Whether the slots are still being increased after a start or return.
    bool ramping(TimePoint now, const HealthSettings &settings) const;
    /// Whether the upstream is ramping up after its start, when long run times are no fault.
    bool warmingUp(TimePoint now, const HealthSettings &settings) const;
    /// Owned and serving at full capacity, with a good result within the last EvidenceLifetime.
    bool confirmedHealthy(TimePoint now, const HealthSettings &settings) const;
    /// Neither ejected nor draining.
    bool usable() const;
    double wrongScore() const;
    /// Highest fault score.
    double score() const;
    /// Whether neither a request nor a probe has been answered since the first unanswered attempt.
    bool unresponsive() const
    {
        return unansweredAttempts > 0 && (!lastProbeOk || *lastProbeOk < unansweredSince);
    }

    PoolMember member;
    HealthState state = HealthState::Unknown;
    HealthReason reason = HealthReason::None;
    TimePoint since;
    std::array<EvidenceWindow, RequestClasses> windows;
    std::vector<TimePoint> wrongAnswers;
    FaultScores scores;
    std::optional<TimePoint> lastEvidence;
    std::optional<TimePoint> lastGoodResult;
    unsigned goodResultsInState = 0; ///< of attempts that were sent in this state
    TimePoint ignoreSentBefore; ///< evidence of attempts sent earlier belongs to an earlier state or a pause
    std::optional<TimePoint> rampStart;
    Milliseconds exclusion{0};
    TimePoint excludedUntil;
    double ejectionScore = 0;
    TimePoint nextProbe;
    unsigned connectFailures = 0; ///< since the last answer; an upstream that accepts connections is reachable
    unsigned unansweredAttempts = 0; ///< since the last answer to a request
    TimePoint unansweredSince;
    std::optional<TimePoint> lastProbeOk;
    bool unreachable = false;
    bool floorBinding = false;
    bool failureBurst = false; ///< consecutive failures that have not been evaluated yet
    std::array<std::uint64_t, EnumNames<EvidenceKind>::Names.size()> counts{};

private:
    void updateFailureCounts(const Evidence &evidence, bool newAttempt);
    void recordShed(TimePoint at);
    void recordGoodResult(const Evidence &evidence);
    unsigned trialSlots() const;
    unsigned shedLimit(TimePoint now, unsigned slots) const;
    unsigned rampedSlots(TimePoint now, const HealthSettings &settings) const;

    std::optional<TimePoint> m_returnedAt;
    TimePoint m_nextTrialAt;
    Milliseconds m_trialInterval{0};
    bool m_trialAllowed = false;
    unsigned m_consecutiveFailures = 0;
    TimePoint m_nextBurstAt;
    std::optional<TimePoint> m_lastShedAt;
    TimePoint m_shedSlotsCutAt;
    unsigned m_shedSlots = 0;
};

} // namespace laburnumspar::detail
