#include "laburnumspar/upstreamregistry.h"

#include <xxhash.h>

#include <algorithm>

namespace laburnumspar {

bool RegisteredUpstream::equalsIgnoringHeartbeat(const RegisteredUpstream &other) const
{
    return id == other.id && service == other.service && address == other.address && zone == other.zone
        && slots == other.slots && phase == other.phase && startedAtMs == other.startedAtMs;
}

std::uint32_t RegisteredUpstream::fingerprint() const
{
    std::string text;
    for (const auto &part : {id,
                             service,
                             toString(address),
                             zone,
                             std::to_string(slots),
                             std::string(name(phase)),
                             std::to_string(startedAtMs)}) {
        text += part;
        text += '\n';
    }
    return std::max(XXH32(text.data(), text.size(), 0), 1U);
}

UpstreamRegistry::UpstreamRegistry(Milliseconds leaseDuration)
    : m_leaseDuration(leaseDuration)
{
}

bool UpstreamRegistry::put(RegisteredUpstream entry, TimePoint now)
{
    auto &record = m_records[entry.id];
    const bool changed = record.lapsed || !record.entry.equalsIgnoringHeartbeat(entry);
    record = {std::move(entry), now, false, {}};
    return changed;
}

void UpstreamRegistry::withdraw(const std::string &id)
{
    m_records.erase(id);
}

bool UpstreamRegistry::remove(const std::string &id, TimePoint now)
{
    const auto it = m_records.find(id);
    if (it == m_records.end()) {
        return false;
    }
    // An upstream that was draining has stopped on purpose, so its entry is not retained.
    if (it->second.entry.phase != UpstreamPhase::Draining && isOutageRecent(now)) {
        if (!it->second.lapsed) {
            it->second.lapsed = true;
            it->second.retainUntil = *m_outageEnd + ReregistrationTime;
        }
        return false;
    }
    m_records.erase(it);
    return true;
}

void UpstreamRegistry::lapse(const std::string &id, TimePoint now)
{
    const auto it = m_records.find(id);
    if (it == m_records.end() || it->second.lapsed) {
        return;
    }
    if (it->second.entry.phase == UpstreamPhase::Draining) {
        m_records.erase(it);
        return;
    }
    it->second.lapsed = true;
    it->second.retainUntil = (isOutageRecent(now) ? *m_outageEnd : now) + ReregistrationTime + PassOnTime;
}

std::vector<std::string> UpstreamRegistry::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (it->second.lapsed && it->second.retainUntil <= now) {
            expired.push_back(it->first);
            it = m_records.erase(it);
        } else {
            ++it;
        }
    }
    return expired;
}

void UpstreamRegistry::recordOutage(TimePoint since, TimePoint now)
{
    // Leases are renewed after a third of their duration, so each has at least two thirds left when an outage begins.
    // No lease can expire during a shorter outage.
    if (now - since < m_leaseDuration * 2 / 3) {
        return;
    }
    recordLoss(now);
}

void UpstreamRegistry::recordLoss(TimePoint now)
{
    m_outageEnd = now;
    for (auto &[id, record] : m_records) {
        if (record.lapsed) {
            record.retainUntil = now + ReregistrationTime;
        }
    }
}

const RegisteredUpstream *UpstreamRegistry::find(const std::string &id) const
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second.entry;
}

bool UpstreamRegistry::isOutageRecent(TimePoint now) const
{
    return m_outageEnd && now < *m_outageEnd + ReregistrationTime;
}

} // namespace laburnumspar
