#include "net/dump.h"

namespace laburnumspar::detail {

namespace json = boost::json;

namespace {

std::int64_t agoMs(TimePoint at, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now - at).count();
}

json::value toJson(const UpstreamDump &upstream)
{
    return {{"upstream", toString(upstream.id)},
            {"slots", upstream.slots},
            {"limit", upstream.limit},
            {"preference", upstream.preference},
            {"outstanding", upstream.outstanding},
            {"long", upstream.longOutstanding},
            {"foreign", upstream.externalLoad},
            {"shedding", upstream.shedding},
            {"for_long", upstream.longAllowed},
            {"owned", upstream.owned}};
}

json::value toJson(const QueueDump &queue)
{
    return {{"team", queue.team},
            {"class", name(queue.requestClass)},
            {"weight", queue.weight},
            {"queued", queue.queued},
            {"running", queue.running},
            {"estimated_wait_us", queue.estimatedWait.count()}};
}

json::value toJson(const RouteDump &route)
{
    return {{"route", route.route},
            {"learned", route.learnedClass ? json::value(name(*route.learnedClass)) : json::value()},
            {"usual_us", route.typical.count()},
            {"upper_us", route.upperBound.count()},
            {"samples", route.samples}};
}

json::value toJson(const DecisionDump &entry, TimePoint now)
{
    return {{"ago_ms", agoMs(entry.at, now)},
            {"kind", name(entry.decision.kind)},
            {"upstream", entry.decision.upstream.ip.empty() ? std::string() : toString(entry.decision.upstream)},
            {"reason", name(entry.decision.reason)},
            {"team", entry.team},
            {"route", entry.route},
            {"class", name(entry.requestClass)},
            {"waited_us", entry.waited.count()}};
}

json::value toJson(const UpstreamHealth &health, TimePoint now)
{
    json::object counts;
    for (std::size_t n = 0; n < health.counts.size(); ++n) {
        if (health.counts[n] > 0) {
            counts.emplace(name(static_cast<EvidenceKind>(n)), health.counts[n]);
        }
    }
    return {{"upstream", toString(health.member.id)},
            {"zone", health.member.zone},
            {"phase", name(health.member.phase)},
            {"owned", health.member.owned},
            {"state", name(health.state)},
            {"reason", name(health.reason)},
            {"since_ms", agoMs(health.since, now)},
            {"slow_score", health.slowScore},
            {"failure_score", health.failureScore},
            {"wrong_score", health.wrongScore},
            {"floor_binding", health.floorBinding},
            {"unreachable", health.unreachable},
            {"exclusion_ms", health.exclusion.count()},
            {"evidence", std::move(counts)}};
}

json::value toJson(const ZoneHealth &zone)
{
    return {{"zone", zone.zone},
            {"upstreams", zone.upstreams},
            {"floor", zone.floor},
            {"confirmed", zone.confirmed},
            {"ejected", zone.ejected}};
}

json::value toJson(const ServiceLoad &load)
{
    return {{"service", load.service},
            {"slots", load.slots},
            {"free", load.freeSlots},
            {"queued", load.queued},
            {"short_wait_us", load.shortWaitUs},
            {"long_wait_us", load.longWaitUs}};
}

json::value toJson(const DispatcherLoadRecord &record, TimePoint now)
{
    return {{"dispatcher", toString(record.dispatcher)},
            {"load", toJson(record.load)},
            {"published_ms", agoMs(record.at, now)},
            {"outstanding", record.outstanding},
            {"avoided", record.avoided}};
}

json::value toJson(const MemberView &member, TimePoint now)
{
    json::array loads;
    for (const auto &load : member.loads) {
        loads.push_back(toJson(load));
    }
    return {{"instance", toString(member.id)},
            {"callers", toString(member.callerAddress)},
            {"zone", member.zone},
            {"incarnation", member.incarnation},
            {"state", name(member.state)},
            {"bidirectional", member.bidirectional},
            {"heard_ms", agoMs(member.lastSeenAt, now)},
            {"settings_hash", member.settingsHash},
            {"loads", std::move(loads)}};
}

template <typename Items, typename... Args>
json::array toJsonArray(const Items &items, Args... args)
{
    json::array array;
    for (const auto &item : items) {
        array.push_back(toJson(item, args...));
    }
    return array;
}

} // namespace

json::value toJson(const DispatcherDump &dump, TimePoint now)
{
    return {{"slots", dump.slots},
            {"long_limit", dump.longLimit},
            {"long_running", dump.longRunning},
            {"queued", dump.queued},
            {"usual_short_us", dump.typicalShort.count()},
            {"usual_long_us", dump.typicalLong.count()},
            {"upstreams", toJsonArray(dump.upstreams)},
            {"queues", toJsonArray(dump.queues)},
            {"routes", toJsonArray(dump.routes)},
            {"decisions", toJsonArray(dump.decisions, now)}};
}

json::value toJson(const HealthDump &dump, TimePoint now)
{
    return {{"floor", dump.settings.floor},
            {"own_network_fault", dump.ownNetworkFault},
            {"zones", toJsonArray(dump.zones)},
            {"upstreams", toJsonArray(dump.upstreams, now)}};
}

json::value toJson(const std::vector<MemberView> &members, TimePoint now)
{
    return toJsonArray(members, now);
}

json::value toJson(const std::vector<DispatcherLoadRecord> &records, TimePoint now)
{
    return toJsonArray(records, now);
}

json::value toJson(const std::vector<SettingsRecord> &records)
{
    json::array array;
    for (const auto &record : records) {
        array.push_back({{"path", record.path},
                         {"accepted_version", record.acceptedVersion.number},
                         {"accepted_era", record.acceptedVersion.era},
                         {"rejected_version", record.rejectedVersion.number},
                         {"reason", record.reason}});
    }
    return array;
}

} // namespace laburnumspar::detail
