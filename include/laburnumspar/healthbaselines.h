#pragma once

#include "laburnumspar/health.h"
#include "laburnumspar/plugin.h"

#include <cstdint>
#include <map>
#include <vector>

namespace laburnumspar {

/// What decides which upstreams get work. Implementations are in the Registry: "judge", and two usual ones to compare
/// it with, "consecutive-errors" and "probes-only".
class HealthPolicy
{
public:
    virtual ~HealthPolicy() = default;

    /// To be called first.
    virtual void configure(const HealthSettings &settings, std::uint64_t seed) = 0;
    virtual void setPool(std::vector<PoolMember> pool, TimePoint now) = 0;
    virtual void record(const Evidence &evidence) = 0;
    virtual void notePause(TimePoint from, TimePoint to) = 0;
    virtual Microseconds overdueThreshold(WorkClass workClass) const = 0;
    virtual std::vector<HealthChange> evaluate(TimePoint now) = 0;
    virtual Admission admission(const UpstreamId &upstream, TimePoint now) const = 0;
    virtual std::vector<UpstreamId> probesDue(TimePoint now) = 0;
};

/// HealthEvaluator behind the common interface.
class PeerComparisonPolicy : public HealthPolicy
{
public:
    void configure(const HealthSettings &settings, std::uint64_t seed) override;
    void setPool(std::vector<PoolMember> pool, TimePoint now) override;
    void record(const Evidence &evidence) override;
    void notePause(TimePoint from, TimePoint to) override;
    Microseconds overdueThreshold(WorkClass workClass) const override;
    std::vector<HealthChange> evaluate(TimePoint now) override;
    Admission admission(const UpstreamId &upstream, TimePoint now) const override;
    std::vector<UpstreamId> probesDue(TimePoint now) override;

private:
    HealthEvaluator m_evaluator = HealthEvaluator::Builder().build();
};

/// Upstreams that are either in or out, where only the share of the floor limits how many are out at once.
class BinaryHealthPolicy : public HealthPolicy
{
public:
    void configure(const HealthSettings &settings, std::uint64_t seed) override;
    void setPool(std::vector<PoolMember> pool, TimePoint now) override;
    void notePause(TimePoint from, TimePoint to) override;
    Microseconds overdueThreshold(WorkClass workClass) const override;
    std::vector<HealthChange> evaluate(TimePoint now) override;
    Admission admission(const UpstreamId &upstream, TimePoint now) const override;
    std::vector<UpstreamId> probesDue(TimePoint now) override;

protected:
    struct Entry {
        PoolMember member;
        bool out = false;
        unsigned failures = 0; ///< in a row
        unsigned successes = 0; ///< in a row
        Milliseconds exclusion{0};
        TimePoint backAt;
        TimePoint nextProbe;
    };

    Entry *find(const UpstreamId &id);
    bool mayTakeOut() const;
    void set(Entry &entry, bool out, HealthReason reason, TimePoint now);
    std::map<UpstreamId, Entry> &entries()
    {
        return m_entries;
    }

private:
    HealthSettings m_settings;
    std::map<UpstreamId, Entry> m_entries;
    std::vector<HealthChange> m_changes;
};

/// Ejects after 5 failures in a row; the exclusion starts at 2 s and doubles with each ejection up to 60 s.
class ConsecutiveErrorsPolicy : public BinaryHealthPolicy
{
public:
    void record(const Evidence &evidence) override;
    std::vector<HealthChange> evaluate(TimePoint now) override;
};

/// Probes every upstream once a second; out after 3 failed probes in a row, in again after 2 successful ones.
class ProbesOnlyPolicy : public BinaryHealthPolicy
{
public:
    void record(const Evidence &evidence) override;
    std::vector<UpstreamId> probesDue(TimePoint now) override;
};

} // namespace laburnumspar
