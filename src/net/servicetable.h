#pragma once

#include "laburnumspar/rendezvous.h"
#include "laburnumspar/routing.h"
#include "laburnumspar/settingsstore.h"
#include "net/serviceruntime.h"

namespace laburnumspar::detail {

/// All services known to this instance, with their dispatchers according to the current member view.
class ServiceTable
{
public:
    ServiceTable(InstanceId self, ServiceRuntime::Context context);

    /// Applies settings, upstream lists and members. `isolated` means that no other member can be reached.
    void refresh(const SettingsStore &store, const std::vector<MemberView> &members, bool isolated, TimePoint now);
    /// Runs the periodic work of all services; see ServiceRuntime::tick().
    void tick(TimePoint now);
    /// Records that this process did not run between the two times.
    void recordPause(TimePoint from, TimePoint to);

    /// Runtime of the service; null if the service is unknown.
    std::shared_ptr<ServiceRuntime> runtime(const std::string &service) const;
    /// Settings of the service; null if the service is unknown.
    std::shared_ptr<const ServiceSettings> settings(const std::string &service) const;
    std::vector<DispatcherCandidate> dispatchers(const std::string &service) const;
    /// Caller addresses of all live instances: dispatchers of the service before others, then the given zone before
    /// others.
    std::vector<Endpoint> callerAddresses(const std::string &service, const std::string &zone) const;
    std::vector<std::string> services() const;

    /// Loads of the services that this instance dispatches.
    std::vector<ServiceLoad> loads() const;
    /// Upstreams, by service, that this instance cannot reach.
    std::vector<UnreachableUpstreams> unreachable() const;

private:
    struct Entry {
        std::shared_ptr<ServiceRuntime> runtime;
        std::vector<DispatcherCandidate> dispatchers;
        bool dispatchesHere = false; ///< this instance owns upstreams of the service
    };
    struct Member {
        InstanceId id;
        Endpoint callerAddress;
        std::string zone;
    };
    struct Snapshot {
        std::map<std::string, Entry> entries;
        std::vector<Member> members; ///< live members with a caller address
    };

    Entry makeEntry(const std::string &service,
                    const SettingsStore &store,
                    const std::vector<MemberView> &members,
                    const Snapshot &previous,
                    bool isolated,
                    TimePoint now);
    std::shared_ptr<const Snapshot> snapshot() const;

    InstanceId m_self;
    ServiceRuntime::Context m_context;
    mutable std::mutex m_mutex; // guards the pointer only; no other lock is taken under it
    std::shared_ptr<const Snapshot> m_snapshot;
};

} // namespace laburnumspar::detail
