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

/// Number of upstreams that may be ejected, whichever they are; computed for the ones with the most slots.
unsigned maxEjectable(const std::vector<PoolMember> &pool, const HealthSettings &settings)
{
    std::vector<unsigned> slots;
    std::uint64_t total = 0;
    for (const auto &member : pool) {
        slots.push_back(slotsOf(member, settings));
        total += slots.back();
    }
    std::sort(slots.begin(), slots.end(), std::greater<>());
    // Rounding may put the product of a share such as 0.55 and a whole number just above the exact value.
    constexpr double RoundingTolerance = 1e-9;
    const double share = std::clamp(settings.floor, 0.0, 1.0);
    const auto floor = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total) - RoundingTolerance));
    std::uint64_t remaining = total - std::min(floor, total);
    unsigned count = 0;
    for (const auto n : slots) {
        if (n > remaining) {
            break;
        }
        remaining -= n;
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
    const unsigned allowed = maxEjectable(pool, settings);
    struct ZoneRemainder {
        std::size_t remainder;
        std::string zone;
    };
    std::vector<ZoneRemainder> remainders;
    std::map<std::string, unsigned> floors;
    unsigned allotted = 0;
    for (const auto &[zone, size] : sizes) {
        const auto quota = static_cast<unsigned>(std::size_t(allowed) * size / pool.size());
        remainders.push_back({std::size_t(allowed) * size % pool.size(), zone});
        floors[zone] = size - quota;
        allotted += quota;
    }
    // Ties go to the first zone by name, so that all instances compute the same floors.
    std::stable_sort(remainders.begin(), remainders.end(), [](const ZoneRemainder &a, const ZoneRemainder &b) {
        return a.remainder > b.remainder;
    });
    for (std::size_t n = 0; allotted < allowed; ++n, ++allotted) {
        --floors[remainders[n].zone];
    }
    return floors;
}

} // namespace laburnumspar
