#include "laburnumspar/routing.h"

#include <algorithm>

namespace laburnumspar {

namespace {

// Cost of a dispatcher in another zone: about one round trip between zones.
constexpr double OtherZoneCostUs = 1000;
// Share of its slots that a dispatcher of the own zone must have free to be preferred. Without a limit, the own zone
// would fill up while others are idle.
constexpr double OwnZoneMinFreeShare = 0.2;
// Assumed wait caused by one more request to a dispatcher that reported an empty queue or no load.
constexpr double AssumedRequestTimeUs = 5000;

} // namespace

void DispatcherLoads::update(const InstanceId &dispatcher, const ServiceLoad &load, TimePoint at)
{
    auto &entry = m_entries[{dispatcher, load.service}];
    if (at < entry.at) {
        return;
    }
    entry.load = load;
    entry.at = at;
    entry.outstandingAtUpdate = entry.outstanding;
}

void DispatcherLoads::recordSent(const InstanceId &dispatcher, const std::string &service)
{
    ++m_entries[{dispatcher, service}].outstanding;
}

void DispatcherLoads::recordDone(const InstanceId &dispatcher, const std::string &service)
{
    auto &entry = m_entries[{dispatcher, service}];
    entry.outstanding -= std::min(entry.outstanding, 1U);
    entry.outstandingAtUpdate -= std::min(entry.outstandingAtUpdate, 1U);
}

void DispatcherLoads::avoidUntil(const InstanceId &dispatcher, TimePoint until)
{
    m_avoidUntil[dispatcher] = until;
}

bool DispatcherLoads::isAvoided(const InstanceId &dispatcher, TimePoint now) const
{
    const auto it = m_avoidUntil.find(dispatcher);
    return it != m_avoidUntil.end() && now < it->second;
}

std::vector<DispatcherLoadRecord> DispatcherLoads::dump(TimePoint now) const
{
    std::vector<DispatcherLoadRecord> records;
    for (const auto &[key, entry] : m_entries) {
        records.push_back({key.first, entry.load, entry.at, entry.outstanding, isAvoided(key.first, now)});
    }
    return records;
}

bool DispatcherLoads::hasFreeSlot(const InstanceId &dispatcher, const std::string &service) const
{
    const auto it = m_entries.find({dispatcher, service});
    return it != m_entries.end() && freeSlots(it->second) >= 1;
}

double DispatcherLoads::freeSlots(const Entry &entry) const
{
    const double sentSince = static_cast<double>(entry.outstanding) - entry.outstandingAtUpdate;
    return std::max(0.0, entry.load.freeSlots - std::max(0.0, sentSince));
}

double DispatcherLoads::expectedWaitUs(const Entry &entry, RequestClass requestClass) const
{
    const double wait = requestClass == RequestClass::Long ? entry.load.longWaitUs : entry.load.shortWaitUs;
    const double sentSince = std::max(0.0, static_cast<double>(entry.outstanding) - entry.outstandingAtUpdate);
    const double perRequest = entry.load.queued > 0 ? wait / entry.load.queued : AssumedRequestTimeUs;
    return wait + sentSince * perRequest;
}

std::optional<InstanceId> DispatcherLoads::choose(const std::string &service,
                                                  RequestClass requestClass,
                                                  const std::vector<DispatcherCandidate> &candidates,
                                                  const std::vector<InstanceId> &exclude,
                                                  const std::string &ownZone,
                                                  TimePoint now,
                                                  std::mt19937_64 &random) const
{
    struct Option {
        const DispatcherCandidate *candidate;
        Entry entry;
        bool avoided;
        double free;
    };
    std::vector<Option> options;
    for (const auto &candidate : candidates) {
        if (std::find(exclude.begin(), exclude.end(), candidate.id) != exclude.end()) {
            continue;
        }
        const auto entry = m_entries.find({candidate.id, service});
        Option option{&candidate, entry == m_entries.end() ? Entry{} : entry->second, false, 0};
        option.avoided = isAvoided(candidate.id, now);
        option.free = option.avoided ? 0 : freeSlots(option.entry);
        options.push_back(option);
    }
    if (options.empty()) {
        return std::nullopt;
    }
    const bool anyNotAvoided = std::any_of(options.begin(), options.end(), [](const Option &o) { return !o.avoided; });
    if (anyNotAvoided) {
        std::erase_if(options, [](const Option &o) { return o.avoided; });
    }
    for (const auto &option : options) {
        const bool enoughFree = option.free >= std::max(1.0, OwnZoneMinFreeShare * option.entry.load.slots);
        if (option.candidate->zone == ownZone && enoughFree) {
            return option.candidate->id;
        }
    }
    double total = 0;
    for (const auto &option : options) {
        total += option.free;
    }
    if (total >= 1) {
        // Random choice weighted by free slots, because all entry instances see about the same loads and would
        // otherwise choose the same dispatcher.
        double point = std::uniform_real_distribution<>(0, total)(random);
        for (const auto &option : options) {
            point -= option.free;
            if (point <= 0) {
                return option.candidate->id;
            }
        }
    }
    const auto cost = [&](const Option &option) {
        const double distance = option.candidate->zone == ownZone ? 0 : OtherZoneCostUs;
        return expectedWaitUs(option.entry, requestClass) + distance;
    };
    // The better of two random candidates, because the loads are some milliseconds old and the best one would attract
    // every instance.
    std::shuffle(options.begin(), options.end(), random);
    options.resize(std::min<std::size_t>(options.size(), 2));
    const auto best = std::min_element(
        options.begin(), options.end(), [&](const Option &a, const Option &b) { return cost(a) < cost(b); });
    return best->candidate->id;
}

} // namespace laburnumspar
