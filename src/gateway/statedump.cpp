#include "gateway/statedump.h"

#include <boost/json.hpp>

namespace laburnumspar::detail {

namespace json = boost::json;

namespace {

json::array dumpInstances(const InstanceGroup &group, TimePoint now)
{
    json::array instances;
    for (const auto &it : group.members(now)) {
        instances.push_back({{"ip", it.ip},
                             {"zone", it.zone},
                             {"role", name(it.role)},
                             {"age_ms", group.statusAge(it.ip, now).count()},
                             {"load", it.load},
                             {"store_revision", it.storeRevision}});
    }
    return instances;
}

json::object dumpServices(ServiceBoard &board, TimePoint now)
{
    json::object services;
    for (const auto &[service, line] : board.lines()) {
        json::array upstreams;
        for (const auto &it : line->pool.summaries(now)) {
            upstreams.push_back({{"id", it.id},
                                 {"in_flight", it.inFlight},
                                 {"foreign", it.externalLoad},
                                 {"fault_probability", it.faultProbability}});
        }
        services[service] = {{"waiting", line->waiting.size()}, {"upstreams", std::move(upstreams)}};
    }
    return services;
}

} // namespace

std::string dumpState(const InstanceGroup &group, ServiceBoard &board, const StoreFollower &follower, TimePoint now)
{
    const auto &self = group.self();
    return json::serialize(json::object{{"ip", self.ip},
                                        {"zone", self.zone},
                                        {"role", name(self.role)},
                                        {"routes", board.routes() ? board.routes()->version() : 0},
                                        {"store_revision", follower.mirror().newestRevision()},
                                        {"store_age_ms", follower.age(now).count()},
                                        {"instances", dumpInstances(group, now)},
                                        {"services", dumpServices(board, now)}});
}

} // namespace laburnumspar::detail
