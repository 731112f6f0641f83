#pragma once

#include "laburnumspar/fleet.h"
#include "laburnumspar/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnumspar {

/// What one attempt or probe showed about an upstream.
struct Evidence {
    UpstreamId upstream;
    EvidenceKind kind = EvidenceKind::Success;
    WorkClass workClass = WorkClass::Short;
    Microseconds runTime{0}; ///< so far, if still running
    TimePoint sentAt;
    TimePoint at;
    /// Identifies the attempt, so that later evidence of it replaces Overdue; 0 if it has none.
    std::uint64_t attempt = 0;
};

struct PoolMember {
    UpstreamId id;
    std::string zone;
    unsigned slots = 0;
    UpstreamPhase phase = UpstreamPhase::Serving;
    bool owned = false; ///< this instance dispatches to it
};

/// Why the state of an upstream changed.
enum class HealthReason : std::uint8_t {
    None,
    GoodEvidence,
    Slow, ///< run times far above those of its peers
    Failing, ///< timeouts, errors, truncated answers or failed connections above those of its peers
    WrongAnswers,
    Unreachable, ///< nothing at all came back
    FloorBinding, ///< would be ejected, but the floor of its zone forbids it
    FloorRestored, ///< taken back because the floor of its zone was broken
    ProbeSucceeded,
    RampDone,
    EvidenceExpired,
    OwnerChanged,
};

template <>
struct EnumNames<HealthReason> {
    static constexpr std::array<std::string_view, 12> Names{
        "none",
        "good-evidence",
        "slow",
        "failing",
        "wrong-answers",
        "unreachable",
        "floor-binding",
        "floor-restored",
        "probe-succeeded",
        "ramp-done",
        "evidence-expired",
        "owner-changed",
    };
};

struct HealthChange {
    UpstreamId upstream;
    HealthState from = HealthState::Unknown;
    HealthState to = HealthState::Unknown;
    HealthReason reason = HealthReason::None;
    double score = 0; ///< strength of the evidence against it, in natural logarithms of the odds
    TimePoint at;
};

struct HealthSettings {
    double floor = 0.7; ///< share of the capacity that ejections must leave, 0..1
    unsigned slots = 1; ///< of a member that names none
    Milliseconds rampTime{10000};
};

struct ZoneHealth {
    std::string zone;
    unsigned upstreams = 0;
    unsigned floor = 0; ///< confirmed healthy upstreams that an ejection must leave
    unsigned confirmed = 0;
    unsigned ejected = 0; ///< without draining ones, which are out in any case
};

struct UpstreamHealth {
    PoolMember member;
    HealthState state = HealthState::Unknown;
    HealthReason reason = HealthReason::None;
    TimePoint since;
    double slowScore = 0;
    double failureScore = 0;
    double wrongScore = 0;
    bool floorBinding = false;
    bool unreachable = false;
    Milliseconds exclusion{0}; ///< length of the last exclusion
    std::array<std::uint64_t, EnumNames<EvidenceKind>::Names.size()> counts{}; ///< all evidence by kind
};

struct HealthDump {
    HealthSettings settings;
    /// Most upstreams seem unreachable at once, so the fault is taken to be in this instance's own network.
    bool ownNetworkFault = false;
    std::vector<ZoneHealth> zones;
    std::vector<UpstreamHealth> upstreams;
};

/// Healthy upstreams that ejections must leave in each zone. What may be ejected is allotted to the zones in whole
/// upstreams by largest remainder, so that zones deciding alone keep the floor of the whole pool.
std::map<std::string, unsigned> zoneFloors(const std::vector<PoolMember> &pool, const HealthSettings &settings);

/// Decides from real work which upstreams of a service get work. Not thread-safe; depends on its arguments only.
class HealthEvaluator
{
public:
    class Builder;

    ~HealthEvaluator();
    HealthEvaluator(HealthEvaluator &&) noexcept;
    HealthEvaluator &operator=(HealthEvaluator &&) noexcept;

    /// The whole pool of the service; members with `owned` unset only count for the floor.
    void setPool(std::vector<PoolMember> pool, TimePoint now);
    void setSettings(const HealthSettings &settings, TimePoint now);
    /// Evidence about an upstream that is not in the pool is ignored.
    void record(const Evidence &evidence);
    /// Run time from which an attempt that is still running should be recorded as Overdue, at every scan anew.
    Microseconds overdueThreshold(WorkClass workClass) const;
    /// This process did not run in this time; evidence of work sent before its end is discarded.
    void notePause(TimePoint from, TimePoint to);
    /// To be called every 50 ms or so. Returns the changes since the last call.
    /// Throws InvariantError if an ejection broke the floor.
    std::vector<HealthChange> evaluate(TimePoint now);
    Admission admission(const UpstreamId &upstream, TimePoint now) const;
    /// Upstreams to probe now; counts them as probed.
    std::vector<UpstreamId> probesDue(TimePoint now);
    /// Upstreams from which nothing comes back, while most others answer.
    std::vector<UpstreamId> unreachable() const;
    HealthState state(const UpstreamId &upstream) const;
    HealthDump dump(TimePoint now) const;

private:
    class Private;
    explicit HealthEvaluator(std::unique_ptr<Private> d);

    std::unique_ptr<Private> m_d;
};

class HealthEvaluator::Builder
{
public:
    Builder &floor(double share);
    Builder &slots(unsigned slots);
    Builder &rampTime(Milliseconds time);
    /// Spreads the probes; equal seeds give equal decisions.
    Builder &seed(std::uint64_t seed);
    HealthEvaluator build() const;

private:
    HealthSettings m_settings;
    std::uint64_t m_seed = 1;
};

} // namespace laburnumspar
