#include "laburnumspar/claims.h"

#include <algorithm>
#include <utility>

namespace laburnumspar {

ClaimTable::ClaimTable(InstanceId owner, std::uint64_t incarnation, TimePoint start, ClaimLimits limits)
    : m_owner(std::move(owner))
    , m_incarnation(incarnation)
    , m_start(start)
    , m_limits(limits)
{
}

std::uint64_t ClaimTable::secondOf(TimePoint now) const
{
    const auto age = std::chrono::duration_cast<std::chrono::seconds>(now - m_start).count();
    return age < 0 ? 0 : static_cast<std::uint64_t>(age);
}

std::uint64_t ClaimTable::firstValidSecond(TimePoint now) const
{
    const auto second = secondOf(now);
    const auto lifetime = static_cast<std::uint64_t>(m_limits.lifetime.count());
    return second > lifetime ? second - lifetime : 0;
}

// Entries are removed only after their identifiers have expired, so that a retry is never granted again.
void ClaimTable::expire(TimePoint now)
{
    const auto first = firstValidSecond(now);
    while (!m_seconds.empty() && m_seconds.begin()->first < first) {
        for (const auto sequence : m_seconds.begin()->second.claimed) {
            const auto it = m_entries.find(sequence);
            if (it->second.answer) {
                m_answerBytes -= it->second.answer->body.size();
            }
            m_entries.erase(it);
        }
        m_seconds.erase(m_seconds.begin());
    }
}

std::vector<RequestId> ClaimTable::issue(std::size_t count, TimePoint now)
{
    expire(now);
    const auto second = secondOf(now);
    auto &issued = m_seconds[second].issued;
    const auto granted = std::min<std::uint64_t>(count, MaxRequestIdsPerSecond - issued);
    std::vector<RequestId> ids;
    ids.reserve(granted);
    for (std::uint64_t n = 0; n < granted; ++n) {
        ids.push_back({m_owner, m_incarnation, requestSequence(second, issued + n)});
    }
    issued += granted;
    return ids;
}

std::optional<RequestId> ClaimTable::issueOne(TimePoint now)
{
    const auto ids = issue(1, now);
    return ids.empty() ? std::nullopt : std::optional(ids.front());
}

ClaimResult ClaimTable::claim(const RequestId &id, TimePoint now, std::uint64_t fingerprint)
{
    expire(now);
    if (id.owner != m_owner || id.incarnation != m_incarnation) {
        return {ClaimState::NotOwner, std::nullopt};
    }
    if (issuedSecond(id.sequence) < firstValidSecond(now)) {
        return {ClaimState::Expired, std::nullopt};
    }
    const auto second = m_seconds.find(issuedSecond(id.sequence));
    if (second == m_seconds.end() || issuedCount(id.sequence) >= second->second.issued) {
        return {ClaimState::NeverIssued, std::nullopt};
    }
    const auto it = m_entries.find(id.sequence);
    if (it != m_entries.end()) {
        if (it->second.fingerprint != fingerprint) {
            return {ClaimState::OtherRequest, std::nullopt};
        }
        return {it->second.answer ? ClaimState::Done : ClaimState::InFlight, it->second.answer};
    }
    if (m_entries.size() >= m_limits.entries) {
        return {ClaimState::TableFull, std::nullopt};
    }
    m_entries.emplace(id.sequence, Entry{fingerprint, std::nullopt});
    second->second.claimed.push_back(id.sequence);
    return {ClaimState::Granted, std::nullopt};
}

bool ClaimTable::complete(const RequestId &id, StoredAnswer answer, TimePoint now)
{
    expire(now);
    const bool own = id.owner == m_owner && id.incarnation == m_incarnation;
    const auto it = own ? m_entries.find(id.sequence) : m_entries.end();
    if (it == m_entries.end() || it->second.answer) {
        return false;
    }
    if (answer.body.size() > m_limits.answerBytes) {
        answer.body = {};
        answer.bodyAvailable = false;
    }
    m_answerBytes += answer.body.size();
    if (!answer.body.empty()) {
        m_bodyOrder.push_back(id.sequence);
    }
    it->second.answer = std::move(answer);
    evictOldestBodies();
    return true;
}

// Removes only bodies. The outcome is kept until the identifier has expired.
void ClaimTable::evictOldestBodies()
{
    while (!m_bodyOrder.empty()
           && (m_answerBytes > m_limits.totalAnswerBytes || !m_entries.contains(m_bodyOrder.front()))) {
        const auto it = m_entries.find(m_bodyOrder.front());
        m_bodyOrder.pop_front();
        if (it != m_entries.end()) {
            m_answerBytes -= it->second.answer->body.size();
            it->second.answer->body = std::string();
            it->second.answer->bodyAvailable = false;
        }
    }
}

std::size_t ClaimTable::size() const
{
    return m_entries.size();
}

std::size_t ClaimTable::answerBytes() const
{
    return m_answerBytes;
}

} // namespace laburnumspar
