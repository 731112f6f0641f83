#pragma once

#include "detail/evidencewindow.h"
#include "detail/peercomparison.h"
#include "laburnumspar/health.h"

#include <array>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

constexpr std::size_t WorkClasses = EnumNames<WorkClass>::Names.size();

/// Evidence older than this is not recent: it neither confirms health nor raises suspicion.
constexpr std::chrono::seconds EvidenceLife{10};

/// All that is known about one upstream of the pool.
class UpstreamRecord
{
public:
    explicit UpstreamRecord(const PoolMember &poolMember);

    /// Applies a new description; a change to Starting begins a ramp, a change of the owner starts from Unknown.
    void update(const PoolMember &poolMember, TimePoint now);
    /// `slowAfter`: limit of a good run time, if known.
    void record(const Evidence &evidence, std::optional<Microseconds> slowAfter);
    void discardPaused(TimePoint from, TimePoint to);
    void enter(HealthState next, HealthReason why, TimePoint now);
    /// Enters Ejected; each ejection soon after the last return doubles the exclusion.
    void eject(HealthReason why, TimePoint now);
    /// Ends the throttle of a burst of failures, which has now been judged. Failures that all upstreams share come in
    /// bursts too, so the next one is not throttled for a while.
    void noteJudged(TimePoint now);
    /// Opens the next trial of a suspect upstream when it is due.
    void updateTrial(TimePoint now);
    Admission admission(TimePoint now, const HealthSettings &settings) const;

    bool ramping(TimePoint now, const HealthSettings &settings) const;
    /// Still warming up after its start, when long run times are no fault.
    bool cold(TimePoint now, const HealthSettings &settings) const;
    /// Serving at full capacity, with good evidence in the last EvidenceLife.
    bool confirmedHealthy(TimePoint now, const HealthSettings &settings) const;
    /// Neither ejected nor draining.
    bool usable() const;
    double wrongScore() const;
    double score() const;
    /// Neither work nor a probe has been answered since work was first left without an answer.
    bool silent() const
    {
        return silentCount > 0 && (!lastProbeOk || *lastProbeOk < silentSince);
    }

    PoolMember member;
    HealthState state = HealthState::Unknown;
    HealthReason reason = HealthReason::None;
    TimePoint since;
    std::array<EvidenceWindow, WorkClasses> windows;
    std::vector<TimePoint> wrongAnswers;
    Suspicion suspicion;
    std::optional<TimePoint> lastEvidence;
    std::optional<TimePoint> lastGood;
    unsigned goodSinceEntry = 0; ///< successes of attempts that were sent in this state
    TimePoint ignoreSentBefore; ///< evidence of attempts sent earlier belongs to an earlier state
    std::optional<TimePoint> rampFrom;
    Milliseconds exclusion{0};
    TimePoint excludedUntil;
    double ejectionScore = 0;
    TimePoint nextProbe;
    unsigned connectFailures = 0; ///< since the last answer; an upstream that accepts connections can be reached
    unsigned silentCount = 0; ///< attempts without any answer since the last answer to work
    TimePoint silentSince;
    std::optional<TimePoint> lastProbeOk;
    bool unreachable = false;
    bool floorBinding = false;
    bool failureBurst = false; ///< several failures in a row that evaluate() has not judged yet
    std::array<std::uint64_t, EnumNames<EvidenceKind>::Names.size()> counts{};

private:
    void noteAnswer(const Evidence &evidence, bool newAttempt);
    void noteShed(TimePoint at);
    void noteGood(const Evidence &evidence);
    unsigned trialSlots() const;
    unsigned shedLimit(TimePoint now, unsigned slots) const;
    unsigned rampedSlots(TimePoint now, const HealthSettings &settings) const;

    std::optional<TimePoint> m_returnedAt;
    TimePoint m_nextTrial;
    Milliseconds m_trialInterval{0};
    bool m_trialOpen = false;
    unsigned m_failuresInRow = 0;
    TimePoint m_nextBurst;
    std::optional<TimePoint> m_lastShed;
    TimePoint m_lastShedCut;
    unsigned m_shedSlots = 0;
};

} // namespace laburnumspar::detail
