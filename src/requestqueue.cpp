#include "laburnumspar/requestqueue.h"

#include <algorithm>

namespace laburnumspar {

namespace {

constexpr Milliseconds RateWindow{1000};
/// Offset of the rank per priority level: a request is overtaken by requests of the next higher priority whose latest
/// start is less than this much later. Strict priorities would starve less urgent requests of an overloaded service.
constexpr Milliseconds PriorityStep{100};
constexpr unsigned MaxPriority = 10;
constexpr double MinWeight = 0.001;
/// Offset of the rank of an organisation that has started twice its fair part. It exceeds the objectives of most
/// routes, so that the parts hold also against requests with more time left.
constexpr Milliseconds LeadStep{4000};
constexpr double MaxLead = 2;

/// First entry that can still meet its objective, or else the first one.
const RequestQueue::Entry &next(const std::set<RequestQueue::Entry> &entries, TimePoint now)
{
    const auto it = std::find_if(
        entries.begin(), entries.end(), [now](const RequestQueue::Entry &entry) { return entry.startBy >= now; });
    return it != entries.end() ? *it : *entries.begin();
}

} // namespace

RequestQueue::Entry RequestQueue::makeEntry(unsigned priority, TimePoint startBy, Ticket ticket)
{
    return {startBy + int(std::min(priority, MaxPriority)) * PriorityStep, startBy, ticket};
}

void RequestQueue::add(const Entry &entry, const Owner &owner)
{
    m_size += partOf(owner).entries.insert(entry).second ? 1 : 0;
}

void RequestQueue::remove(const Entry &entry, const Owner &owner)
{
    const auto it = m_parts.find(owner.organisation);
    if (it != m_parts.end()) {
        m_size -= it->second.entries.erase(entry);
        release(owner.organisation);
    }
}

void RequestQueue::drop(const Entry &entry)
{
    const auto it = std::find_if(
        m_parts.begin(), m_parts.end(), [&entry](const auto &part) { return part.second.entries.contains(entry); });
    if (it != m_parts.end()) {
        remove(entry, {it->first, it->second.weight});
    }
}

std::optional<RequestQueue::Entry> RequestQueue::front(TimePoint now) const
{
    const Entry *best = nullptr;
    bool bestLate = false;
    TimePoint bestRank;
    for (const auto &[organisation, part] : m_parts) {
        if (part.entries.empty()) {
            continue;
        }
        const auto &entry = next(part.entries, now);
        const bool late = entry.startBy < now;
        const auto rank = entry.rank + lead(part);
        if (best == nullptr || (late == bestLate ? rank < bestRank : bestLate)) {
            best = &entry;
            bestLate = late;
            bestRank = rank;
        }
    }
    return best != nullptr ? std::optional(*best) : std::nullopt;
}

std::size_t RequestQueue::countAhead(const Entry &entry, const Owner &owner, TimePoint now) const
{
    const bool late = entry.startBy < now;
    const auto own = m_parts.find(owner.organisation);
    const auto ownLead = own != m_parts.end() ? lead(own->second) : Clock::duration();
    std::size_t count = 0;
    for (const auto &[organisation, part] : m_parts) {
        // Compared with the rank of this entry, as if its organisation were ahead by the difference.
        auto compared = entry;
        compared.rank += ownLead - lead(part);
        count += std::size_t(std::count_if(part.entries.begin(), part.entries.end(), [&](const Entry &it) {
            const bool otherLate = it.startBy < now;
            return otherLate == late ? it < compared : late;
        }));
    }
    return count;
}

void RequestQueue::recordStart(TimePoint now, const Owner &owner)
{
    m_starts.push_back({now, owner.organisation});
    ++partOf(owner).started;
    for (; now - m_starts.front().at > RateWindow; m_starts.pop_front()) {
        const auto &organisation = m_starts.front().organisation;
        --m_parts.at(organisation).started;
        release(organisation);
    }
}

double RequestQueue::startRate(TimePoint now) const
{
    const auto inWindow
        = std::count_if(m_starts.begin(), m_starts.end(), [now](const Start &it) { return now - it.at <= RateWindow; });
    return double(inWindow) / std::chrono::duration<double>(RateWindow).count();
}

RequestQueue::Part &RequestQueue::partOf(const Owner &owner)
{
    const auto [it, added] = m_parts.try_emplace(owner.organisation);
    if (added) {
        it->second.weight = std::max(owner.weight, MinWeight);
        m_weights += it->second.weight;
    }
    return it->second;
}

Clock::duration RequestQueue::lead(const Part &part) const
{
    if (part.started == 0 || m_parts.size() == 1) {
        return {};
    }
    const double fairStarts = double(m_starts.size()) * part.weight / m_weights;
    const double ahead = std::clamp(double(part.started) / fairStarts - 1, 0.0, MaxLead);
    return std::chrono::duration_cast<Clock::duration>(ahead * LeadStep);
}

/// Forgets an organisation without requests in the queue and recent starts.
void RequestQueue::release(const std::string &organisation)
{
    const auto it = m_parts.find(organisation);
    if (it != m_parts.end() && it->second.entries.empty() && it->second.started == 0) {
        m_weights -= it->second.weight;
        m_parts.erase(it);
    }
}

} // namespace laburnumspar
