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

/// Observation of one attempt at an upstream, or of one probe.
struct Evidence {
    UpstreamId upstream;
    EvidenceKind kind = EvidenceKind::Success;
    RequestClass requestClass = RequestClass::Short;
    Microseconds runTime{0}; ///< time since the start if the attempt is still running
    TimePoint sentAt;
    TimePoint at;
    /// Identifies the attempt, so that its later evidence replaces its Overdue evidence; 0 if there is none to replace.
    std::uint64_t attempt = 0;
};

/// An upstream in the pool of a service.
struct PoolMember {
    UpstreamId id;
    std::string zone;
    unsigned slots = 0; ///< maximum of concurrent requests; 0 means HealthSettings::slots
    UpstreamPhase phase = UpstreamPhase::Serving;
    bool owned = false; ///< this instance dispatches requests to the upstream
};

/// Why the state of an upstream changed.
enum class HealthReason : std::uint8_t {
    None,
    GoodEvidence,
    Slow, ///< run times far above those of its peers
    Failing, ///< timeouts, errors, truncated answers or failed connections above those of its peers
    WrongAnswers,
    Unreachable, ///< connection attempts or probes failed
    FloorBinding, ///< not ejected, as too few healthy upstreams would remain in its zone
    FloorRestored, ///< readmitted, as too few usable upstreams remained in its zone
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

/// A state change of an upstream; `from` and `to` are equal if the reason is FloorBinding.
struct HealthChange {
    UpstreamId upstream;
    HealthState from = HealthState::Unknown;
    HealthState to = HealthState::Unknown;
    HealthReason reason = HealthReason::None;
    double score = 0; ///< highest fault score of the upstream, a natural logarithm of odds
    TimePoint at;
};

struct HealthSettings {
    double floor = 0.7; ///< minimum share of the capacity that ejections must leave, 0 to 1
    unsigned slots = 1; ///< of a pool member without a value of its own
    Milliseconds rampTime{10000}; ///< from one slot to full capacity after a start or return
};

struct ZoneHealth {
    std::string zone;
    unsigned upstreams = 0;
    unsigned floor = 0; ///< minimum number of confirmed healthy upstreams that an ejection must leave
    unsigned confirmed = 0; ///< healthy upstreams at full capacity with recent good evidence
    unsigned ejected = 0; ///< excludes draining upstreams, which get no requests in any state
};

struct UpstreamHealth {
    PoolMember member;
    HealthState state = HealthState::Unknown;
    HealthReason reason = HealthReason::None;
    TimePoint since;
    double slowScore = 0;
    double failureScore = 0;
    double wrongScore = 0;
    bool floorBinding = false; ///< the floor of the zone has prevented an ejection in this state
    bool unreachable = false;
    Milliseconds exclusion{0}; ///< minimum time from the last ejection to the next probe
    std::array<std::uint64_t, EnumNames<EvidenceKind>::Names.size()> counts{}; ///< evidence so far, by EvidenceKind
};

struct HealthDump {
    HealthSettings settings;
    /// Most upstreams are unresponsive at once, which is attributed to this instance's own network.
    bool ownNetworkFault = false;
    std::vector<ZoneHealth> zones;
    std::vector<UpstreamHealth> upstreams;
};

/// Returns the minimum number of healthy upstreams that ejections must leave in each zone. The upstreams that may be
/// ejected are allotted to the zones by the largest remainder method, so that decisions made separately in each zone
/// keep the floor of the whole pool.
std::map<std::string, unsigned> zoneFloors(const std::vector<PoolMember> &pool, const HealthSettings &settings);

/// Decides from the results of requests and probes which upstreams of a service receive requests. Not thread-safe.
/// Decisions depend on the arguments only: no clock is read.
class HealthEvaluator
{
public:
    class Builder;

    ~HealthEvaluator();
    HealthEvaluator(HealthEvaluator &&) noexcept;
    HealthEvaluator &operator=(HealthEvaluator &&) noexcept;

    /// Sets the whole pool of the service. Members that are not owned are only counted to compute the floor.
    void setPool(std::vector<PoolMember> pool, TimePoint now);
    void setSettings(const HealthSettings &settings, TimePoint now);
    /// Ignores evidence about an upstream that is not in the pool.
    void record(const Evidence &evidence);
    /// Run time from which an attempt that is still running is to be recorded as Overdue, again at every scan;
    /// Microseconds::max() without evidence.
    Microseconds overdueThreshold(RequestClass requestClass) const;
    /// Reports that this process did not run between `from` and `to`. Evidence received since `from` about attempts
    /// sent before `to` is discarded, also if it is recorded later.
    void recordPause(TimePoint from, TimePoint to);
    /// Updates the states; to be called about every 50 ms. Returns the changes since the last call.
    /// Throws InvariantError if an ejection violated the floor.
    std::vector<HealthChange> evaluate(TimePoint now);
    /// Slots and preference of the upstream; no slots for one that is not in the pool.
    Admission admission(const UpstreamId &upstream, TimePoint now) const;
    /// Returns the upstreams to probe now and schedules their next probes.
    std::vector<UpstreamId> probesDue(TimePoint now);
    /// Upstreams to which connections fail, while most other upstreams answer.
    std::vector<UpstreamId> unreachable() const;
    /// Unknown for an upstream that is not in the pool.
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
    /// Seed of the random delays of probes; equal seeds and arguments give equal decisions.
    Builder &seed(std::uint64_t seed);
    HealthEvaluator build() const;

private:
    HealthSettings m_settings;
    std::uint64_t m_seed = 1;
};

} // namespace laburnumspar
