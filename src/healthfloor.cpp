#include "laburnumspar/health.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace laburnumspar {

namespace {

unsigned slotsOf(const PoolMember &member, const HealthSettings &settings)
{
    return member.slots > 0 ? member.slots : settings.slots;
}

/// How many upstreams may be ejected, whichever they are: the largest ones are counted.
unsigned ejectable(const std::vector<PoolMember> &pool, const HealthSettings &settings)
{
    std::vector<unsigned> slots;
    std::uint64_t total = 0;
    for (const auto &member : pool) {
        slots.push_back(slotsOf(member, settings));
        total += slots.back();
    }
    std::sort(slots.begin(), slots.end(), std::greater<>());
    // The product of a share such as 0.55 and a whole number may lie just above the exact value.
    constexpr double Rounding = 1e-9;
    const double share = std::clamp(settings.floor, 0.0, 1.0);
    const auto floor = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total) - Rounding));
    std::uint64_t left = total - std::min(floor, total);
    unsigned count = 0;
    for (const auto n : slots) {
        if (n > left) {
            break;
        }
        left -= n;
        ++count;
    }
    return count;
}

} // namespace

std::map<std::string, unsigned> zoneFloors(const std::vector<PoolMember> &pool, const HealthSettings &settings)
{
    std::map<std::string, unsigned> sizes;
    for (const auto &member : pool) {
        ++sizes[member.zone];
    }
    const unsigned allowed = ejectable(pool, settings);
    struct Share {
        std::size_t remainder;
        std::string zone;
    };
    std::vector<Share> shares;
    std::map<std::string, unsigned> floors;
    unsigned allotted = 0;
    for (const auto &[zone, size] : sizes) {
        const auto whole = static_cast<unsigned>(std::size_t(allowed) * size / pool.size());
        shares.push_back({std::size_t(allowed) * size % pool.size(), zone});
        floors[zone] = size - whole;
        allotted += whole;
    }
    // Ties go to the zone that is first by name, so that all instances agree.
    std::stable_sort(
        shares.begin(), shares.end(), [](const Share &a, const Share &b) { return a.remainder > b.remainder; });
    for (std::size_t n = 0; allotted < allowed; ++n, ++allotted) {
        --floors[shares[n].zone];
    }
    return floors;
}

} // namespace laburnumspar
