#pragma once

#include "laburnumspar/health.h"
#include "laburnumspar/plugin.h"

#include <cstdint>
#include <map>
#include <vector>

namespace laburnumspar {

/// Decides which upstreams receive requests; see HealthEvaluator for the functions. The Registry holds the
/// implementation "judge" and two common policies as baselines, "consecutive-errors" and "probes-only".
class HealthPolicy
{
public:
    virtual ~HealthPolicy() = default;

    /// Must be called before any other function.
    virtual void configure(const HealthSettings &settings, std::uint64_t seed) = 0;
    virtual void setPool(std::vector<PoolMember> pool, TimePoint now) = 0;
    virtual void record(const Evidence &evidence) = 0;
    virtual void recordPause(TimePoint from, TimePoint to) = 0;
    virtual Microseconds overdueThreshold(RequestClass requestClass) const = 0;
    virtual std::vector<HealthChange> evaluate(TimePoint now) = 0;
    virtual Admission admission(const UpstreamId &upstream, TimePoint now) const = 0;
    virtual std::vector<UpstreamId> probesDue(TimePoint now) = 0;
};

/// Compares each upstream with its peers, by a HealthEvaluator.
class PeerComparisonPolicy : public HealthPolicy
{
public:
    void configure(const HealthSettings &settings, std::uint64_t seed) override;
    void setPool(std::vector<PoolMember> pool, TimePoint now) override;
    void record(const Evidence &evidence) override;
    void recordPause(TimePoint from, TimePoint to) override;
    Microseconds overdueThreshold(RequestClass requestClass) const override;
    std::vector<HealthChange> evaluate(TimePoint now) override;
    Admission admission(const UpstreamId &upstream, TimePoint now) const override;
    std::vector<UpstreamId> probesDue(TimePoint now) override;

private:
    HealthEvaluator m_evaluator = HealthEvaluator::Builder().build();
};

/// Base of policies in which an upstream is either healthy or ejected. Ejections are limited only by the floor as a
/// share of the number of upstreams.
class BinaryHealthPolicy : public HealthPolicy
{
public:
    void configure(const HealthSettings &settings, std::uint64_t seed) override;
    void setPool(std::vector<PoolMember> pool, TimePoint now) override;
    void recordPause(TimePoint from, TimePoint to) override;
    Microseconds overdueThreshold(RequestClass requestClass) const override;
    std::vector<HealthChange> evaluate(TimePoint now) override;
    Admission admission(const UpstreamId &upstream, TimePoint now) const override;
    std::vector<UpstreamId> probesDue(TimePoint now) override;

protected:
    struct Entry {
        PoolMember member;
        bool ejected = false;
        unsigned failures = 0; ///< consecutive
        unsigned successes = 0; ///< consecutive
        Milliseconds exclusion{0};
        TimePoint ejectedUntil;
        TimePoint nextProbe;
    };

    Entry *find(const UpstreamId &id);
    bool canEject() const;
    void setEjected(Entry &entry, bool ejected, HealthReason reason, TimePoint now);
    std::map<UpstreamId, Entry> &entries()
    {
        return m_entries;
    }

private:
    HealthSettings m_settings;
    std::map<UpstreamId, Entry> m_entries;
    std::vector<HealthChange> m_changes;
};

/// Ejects an upstream after 5 consecutive failures, for 2 s at first and twice as long with each ejection up to 60 s.
class ConsecutiveErrorsPolicy : public BinaryHealthPolicy
{
public:
    void record(const Evidence &evidence) override;
    std::vector<HealthChange> evaluate(TimePoint now) override;
};

/// Probes every owned upstream once per second. Ejects it after 3 consecutive failed probes and readmits it after 2
/// consecutive successful ones.
class ProbesOnlyPolicy : public BinaryHealthPolicy
{
public:
    void record(const Evidence &evidence) override;
    std::vector<UpstreamId> probesDue(TimePoint now) override;
};

} // namespace laburnumspar
