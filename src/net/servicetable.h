#pragma once

#include "laburnumspar/rendezvous.h"
#include "laburnumspar/routing.h"
#include "laburnumspar/settingsstore.h"
#include "net/serviceruntime.h"

namespace laburnumspar::detail {

/// All services of this instance, with their dispatchers as the current view of the members gives them.
class ServiceTable
{
public:
    ServiceTable(InstanceId self, ServiceRuntime::Context context);

    /// Takes over settings, upstream lists and members. `isolated`: no other member can be reached.
    void refresh(const SettingsStore &store, const std::vector<MemberView> &members, bool isolated, TimePoint now);
    void tick(TimePoint now);
    void notePause(TimePoint from, TimePoint to);

    /// Null if the service is unknown.
    std::shared_ptr<ServiceRuntime> runtime(const std::string &service) const;
    std::shared_ptr<const ServiceSettings> settings(const std::string &service) const;
    std::vector<DispatcherCandidate> dispatchers(const std::string &service) const;
    /// Addresses for callers: dispatchers of the service, the given zone first, then the other instances.
    std::vector<Endpoint> callerAddresses(const std::string &service, const std::string &zone) const;
    std::vector<std::string> services() const;

    std::vector<ServiceLoad> loads() const;
    std::vector<UnreachableUpstreams> unreachable() const;

private:
    struct Entry {
        std::shared_ptr<ServiceRuntime> runtime;
        std::vector<DispatcherCandidate> dispatchers;
        bool dispatchesHere = false;
    };
    struct Member {
        InstanceId id;
        Endpoint callerAddress;
        std::string zone;
    };
    struct Snapshot {
        std::map<std::string, Entry> entries;
        std::vector<Member> members; ///< usable ones
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
