#include "gateway/statedump.h"

#include <boost/json.hpp>

namespace laburnumspar::detail {

namespace json = boost::json;

namespace {

constexpr std::size_t DumpedOrganisations = 20;

json::array dumpInstances(const InstanceGroup &group, TimePoint now)
{
    json::array instances;
    for (const auto &it : group.members(now)) {
        instances.push_back({{"ip", it.ip},
                             {"zone", it.zone},
                             {"role", name(it.role)},
                             {"age_ms", group.statusAge(it.ip, now).count()},
                             {"load", it.load},
                             {"store_revision", toString(it.storeRevision)}});
    }
    return instances;
}

json::object dumpServices(ServiceRegistry &serviceRegistry, TimePoint now)
{
    json::object services;
    for (const auto &[name, service] : serviceRegistry.services()) {
        json::array upstreams;
        for (const auto &it : service->pool.summaries(now)) {
            upstreams.push_back({{"id", it.id},
                                 {"in_flight", it.inFlight},
                                 {"foreign", it.externalLoad},
                                 {"fault_probability", it.faultProbability}});
        }
        services[name] = {{"waiting", service->queue.size()}, {"upstreams", std::move(upstreams)}};
    }
    return services;
}

json::array dumpOrganisations(const QuotaLedger &quotas, TimePoint now)
{
    json::array organisations;
    for (const auto &it : quotas.largest(DumpedOrganisations, now)) {
        organisations.push_back({{"name", it.name},
                                 {"share", it.share},
                                 {"tokens", it.tokens},
                                 {"requests_per_second", it.demand},
                                 {"contended", it.contended}});
    }
    return organisations;
}

} // namespace

std::string dumpState(const InstanceGroup &group,
                      ServiceRegistry &serviceRegistry,
                      const QuotaLedger &quotas,
                      const StoreFollower &follower,
                      TimePoint now)
{
    const auto &self = group.self();
    return json::serialize(json::object{{"ip", self.ip},
                                        {"zone", self.zone},
                                        {"role", name(self.role)},
                                        {"routes", serviceRegistry.routes() ? serviceRegistry.routes()->version() : 0},
                                        {"store_revision", toString(follower.mirror().newestRevision())},
                                        {"store_age_ms", follower.storeAge(now).count()},
                                        {"instances", dumpInstances(group, now)},
                                        {"organisations", dumpOrganisations(quotas, now)},
                                        {"services", dumpServices(serviceRegistry, now)}});
}

} // namespace laburnumspar::detail
