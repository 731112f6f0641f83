#include "detail/fairqueue.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::detail {

namespace {

// Time constant of the average. It follows a change of load within a second without reacting to single requests.
constexpr double MeterTimeConstantUs = 300'000;
// A team with a weight of zero would never be served.
constexpr double MinWeight = 0.001;
// The mean slot time of the class is a better estimate for a team with fewer samples.
constexpr unsigned MinSamples = 8;
// Idle teams are removed only beyond this number, because each removal scans all teams.
constexpr std::size_t MaxIdleTeams = 256;
constexpr Milliseconds DropInterval{500};
// A team that used more than its share of slot time is kept for this time at most. The virtual time does not advance
// while every request comes from a new team, so it alone would keep such teams for ever.
constexpr Milliseconds DebtLifetime{2000};

// The mean slot time covers about this time, but at least 16 and at most 512 requests. Fewer would make the estimate of
// a long queue too noisy, more would follow a slowdown too late.
constexpr double SlotTimeWindowUs = 1'000'000;
constexpr double MinSlotTimeWeight = 1.0 / 512;
// A wait above the target for this time is a lasting overload, not a burst. The overload is over when the target has
// not been enforced for the same time.
constexpr Milliseconds OverloadInterval{1000};

double microsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double, std::micro>(to - from).count();
}

std::size_t index(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

} // namespace

void SlotMeter::add(int slots, TimePoint now)
{
    m_average = average(now);
    m_updatedAt = std::max(m_updatedAt, now);
    m_held += slots;
}

double SlotMeter::average(TimePoint now) const
{
    const double us = microsBetween(m_updatedAt, std::max(now, m_updatedAt));
    return m_held + (m_average - m_held) * std::exp(-us / MeterTimeConstantUs);
}

void SlotTimeAverage::add(double us, TimePoint now)
{
    const double weight = microsBetween(m_updatedAt, now) / SlotTimeWindowUs;
    m_average.add(us, std::clamp(weight, MinSlotTimeWeight, RunTimeAverage::DefaultWeight));
    m_updatedAt = now;
}

bool OverloadDetector::shouldEnforceTarget(bool exceedsTarget, TimePoint now)
{
    if (!exceedsTarget || !m_withinTargetAt) {
        m_withinTargetAt = now;
        return false;
    }
    const bool lasting
        = now - *m_withinTargetAt >= OverloadInterval || (m_enforcedAt && now - *m_enforcedAt < OverloadInterval);
    if (lasting) {
        m_enforcedAt = now;
    }
    return lasting;
}

bool FairQueue::ByVirtualTime::operator()(const Team *a, const Team *b) const
{
    return std::pair(a->virtualTime, a->number) < std::pair(b->virtualTime, b->number);
}

FairQueue::FairQueue(std::map<std::string, double> shares)
    : m_shares(std::move(shares))
{
}

double FairQueue::weightOf(const std::string &name) const
{
    const auto it = m_shares.find(name);
    return it == m_shares.end() ? 1 : std::max(it->second, MinWeight);
}

void FairQueue::setShares(std::map<std::string, double> shares)
{
    m_shares = std::move(shares);
    for (const auto &[name, team] : m_teams) {
        const double weight = weightOf(name);
        m_activeWeight += team->active ? weight - team->weight : 0;
        team->weight = weight;
    }
}

Team &FairQueue::team(const std::string &name)
{
    std::unique_ptr<Team> &team = m_teams[name];
    if (!team) {
        team = std::make_unique<Team>();
        team->name = name;
        team->number = m_nextNumber++;
        team->weight = weightOf(name);
        team->virtualTime = m_virtualTime;
    }
    return *team;
}

void FairQueue::push(Team &team, RequestClass requestClass, const QueueKey &key, std::uint64_t ticket)
{
    if (team.queued() == 0) {
        // A team earns no credit for the time in which it had no queued requests.
        team.virtualTime = std::max(team.virtualTime, m_virtualTime);
    }
    team.queues[index(requestClass)].insert(key, ticket);
    m_backlog[index(requestClass)].insert(&team);
    ++m_sizes[index(requestClass)];
    ++m_size;
    updateActive(team);
}

void FairQueue::erase(Team &team, RequestClass requestClass, const QueueKey &key)
{
    DeadlineQueue &queue = team.queues[index(requestClass)];
    const std::size_t before = queue.size();
    queue.erase(key);
    m_sizes[index(requestClass)] -= before - queue.size();
    m_size -= before - queue.size();
    if (queue.empty()) {
        m_backlog[index(requestClass)].erase(&team);
    }
    updateActive(team);
}

void FairQueue::start(Team &team, RequestClass requestClass, double costUs, TimePoint now)
{
    // A team whose long requests waited for the long share earns no credit for the slots that it did not use meanwhile.
    const double lag = m_virtualTime - costUs / team.weight - team.virtualTime;
    if (lag > 0) {
        charge(team, lag * team.weight);
    }
    m_virtualTime = std::max(m_virtualTime, team.virtualTime);
    charge(team, costUs);
    team.lastStart = now;
    team.meters[index(requestClass)].add(1, now);
    m_meters[index(requestClass)].add(1, now);
    updateActive(team);
}

void FairQueue::finish(Team &team, RequestClass requestClass, double costUs, double heldUs, TimePoint now)
{
    charge(team, heldUs - costUs);
    team.meters[index(requestClass)].add(-1, now);
    m_meters[index(requestClass)].add(-1, now);
    updateActive(team);
}

void FairQueue::recordSlotTime(Team &team, RequestClass requestClass, double heldUs, TimePoint now)
{
    team.slotTime[index(requestClass)].add(heldUs, now);
    m_slotTime[index(requestClass)].add(heldUs, now);
}

void FairQueue::reclassify(Team &team, TimePoint now)
{
    for (auto *meters : {&team.meters, &m_meters}) {
        (*meters)[index(RequestClass::Short)].add(-1, now);
        (*meters)[index(RequestClass::Long)].add(1, now);
    }
}

std::vector<Team *> FairQueue::backlogged(RequestClass requestClass, std::size_t limit) const
{
    const Backlog &backlog = m_backlog[index(requestClass)];
    std::vector<Team *> teams;
    for (auto it = backlog.begin(); it != backlog.end() && teams.size() < limit; ++it) {
        teams.push_back(*it);
    }
    return teams;
}

double FairQueue::startInterval(const Team &team, RequestClass requestClass, double slots, TimePoint now) const
{
    const std::size_t n = index(requestClass);
    // The team gets the slots that the others leave, and at least its share.
    const double heldByOthers = std::max(0.0, m_meters[n].average(now) - team.meters[n].average(now));
    const double share = slots * team.weight / activeWeightWith(team);
    return slotTime(team, requestClass) / std::max(share, slots - heldByOthers);
}

double FairQueue::slotTime(const Team &team, RequestClass requestClass) const
{
    const auto &own = team.slotTime[index(requestClass)];
    return own.samples() >= MinSamples ? own.mean() : slotTime(requestClass);
}

double FairQueue::slotTime(RequestClass requestClass) const
{
    return m_slotTime[index(requestClass)].mean();
}

double FairQueue::averageHeld(RequestClass requestClass, TimePoint now) const
{
    return m_meters[index(requestClass)].average(now);
}

Team *FairQueue::teamWithLargestQueue()
{
    Team *largest = nullptr;
    for (const Backlog &backlog : m_backlog) {
        for (Team *team : backlog) {
            if (!largest || double(team->queued()) / team->weight > double(largest->queued()) / largest->weight) {
                largest = team;
            }
        }
    }
    return largest;
}

bool FairQueue::overQueueShare(const Team &team, std::size_t queueLimit) const
{
    return double(team.queued() + 1) > double(queueLimit) * team.weight / activeWeightWith(team);
}

void FairQueue::dropIdleTeams(TimePoint now)
{
    if (m_teams.size() < m_activeTeams + MaxIdleTeams || now - m_lastDropAt < DropInterval) {
        return;
    }
    m_lastDropAt = now;
    std::erase_if(m_teams, [&](const auto &entry) {
        const Team &team = *entry.second;
        return !team.active && (team.virtualTime <= m_virtualTime || now - team.lastStart > DebtLifetime);
    });
}

std::size_t FairQueue::size(RequestClass requestClass) const
{
    return m_sizes[index(requestClass)];
}

void FairQueue::charge(Team &team, double costUs)
{
    // The backlogs are sorted by virtual time, so the team is taken out while it changes.
    std::array<bool, 2> waiting{};
    for (std::size_t n = 0; n < 2; ++n) {
        waiting[n] = m_backlog[n].erase(&team) > 0;
    }
    team.virtualTime += costUs / team.weight;
    for (std::size_t n = 0; n < 2; ++n) {
        if (waiting[n]) {
            m_backlog[n].insert(&team);
        }
    }
}

void FairQueue::updateActive(Team &team)
{
    const bool active = team.queued() + team.running() > 0;
    if (active != team.active) {
        team.active = active;
        m_activeTeams += active ? 1 : -1;
        m_activeWeight = m_activeTeams == 0 ? 0 : m_activeWeight + (active ? team.weight : -team.weight);
    }
}

double FairQueue::activeWeightWith(const Team &team) const
{
    return m_activeWeight + (team.active ? 0 : team.weight);
}

} // namespace laburnumspar::detail
