#include "net/callerrequestids.h"

namespace laburnumspar::detail {

namespace {

constexpr std::size_t MaxEntries = 100'000;
constexpr std::chrono::seconds Lifetime{600}; // same as the lifetime of issued identifiers

} // namespace

std::optional<RequestId>
CallerRequestIds::idFor(const std::string &team, const std::string &text, ClaimTable &claims, TimePoint now)
{
    expire(now);
    const auto key = team + '\n' + text;
    if (const auto it = m_entries.find(key); it != m_entries.end()) {
        return it->second.id;
    }
    if (m_entries.size() >= MaxEntries) {
        return std::nullopt;
    }
    const auto issued = claims.issueOne(now);
    if (issued) {
        m_entries.emplace(key, Entry{*issued, now});
        m_order.push_back(key);
    }
    return issued;
}

void CallerRequestIds::expire(TimePoint now)
{
    while (!m_order.empty()) {
        const auto it = m_entries.find(m_order.front());
        if (now - it->second.at < Lifetime) {
            return;
        }
        m_entries.erase(it);
        m_order.pop_front();
    }
}

} // namespace laburnumspar::detail
