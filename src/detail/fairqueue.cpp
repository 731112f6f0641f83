#include "detail/fairqueue.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::detail {

namespace {

// Follows a change of load within a second without reacting to single requests.
constexpr double MeterTimeUs = 300'000;
// A weight of zero would never be served.
constexpr double MinWeight = 0.001;
// Until a team has this many samples, the slot time of the whole class is the better estimate.
constexpr unsigned MinSamples = 8;
// Idle teams are kept up to this number: forgetting one costs a scan.
constexpr std::size_t MaxIdleTeams = 256;
constexpr Milliseconds DropInterval{500};
// The virtual time stands still while every request comes from a new team, so debts must also end with time.
constexpr Milliseconds DebtLifetime{2000};

// The mean of the slot time covers about this time, but between 16 and 512 items: fewer would be noise in a long queue,
// more would follow a slowdown too late.
constexpr double SlotTimeWindowUs = 1'000'000;
constexpr double MinSlotTimeWeight = 1.0 / 512;
// A burst that the queue has not worked off after this time is an overload; it is over when the target has not been
// enforced for as long.
constexpr Milliseconds OverloadInterval{1000};

double microsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double, std::micro>(to - from).count();
}

std::size_t index(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

} // namespace

void SlotMeter::add(int slots, TimePoint now)
{
    m_average = average(now);
    m_at = std::max(m_at, now);
    m_held += slots;
}

double SlotMeter::average(TimePoint now) const
{
    const double us = microsBetween(m_at, std::max(now, m_at));
    return m_held + (m_average - m_held) * std::exp(-us / MeterTimeUs);
}

void SlotTimeAverage::add(double us, TimePoint now)
{
    const double weight = microsBetween(m_at, now) / SlotTimeWindowUs;
    m_average.add(us, std::clamp(weight, MinSlotTimeWeight, RunTimeAverage::DefaultWeight));
    m_at = now;
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

void FairQueue::push(Team &team, WorkClass workClass, const QueueKey &key, std::uint64_t ticket)
{
    if (team.queued() == 0) {
        // Time without waiting work gives no claim to slots later on.
        team.virtualTime = std::max(team.virtualTime, m_virtualTime);
    }
    team.queues[index(workClass)].insert(key, ticket);
    m_backlog[index(workClass)].insert(&team);
    ++m_sizes[index(workClass)];
    ++m_size;
    updateActive(team);
}

void FairQueue::erase(Team &team, WorkClass workClass, const QueueKey &key)
{
    DeadlineQueue &queue = team.queues[index(workClass)];
    const std::size_t before = queue.size();
    queue.erase(key);
    m_sizes[index(workClass)] -= before - queue.size();
    m_size -= before - queue.size();
    if (queue.empty()) {
        m_backlog[index(workClass)].erase(&team);
    }
    updateActive(team);
}

void FairQueue::start(Team &team, WorkClass workClass, double costUs, TimePoint now)
{
    // A team whose long work waited for a long slot has not earned all the slots it did not use meanwhile.
    const double lag = m_virtualTime - costUs / team.weight - team.virtualTime;
    if (lag > 0) {
        charge(team, lag * team.weight);
    }
    m_virtualTime = std::max(m_virtualTime, team.virtualTime);
    charge(team, costUs);
    team.lastStart = now;
    team.meters[index(workClass)].add(1, now);
    m_meters[index(workClass)].add(1, now);
    updateActive(team);
}

void FairQueue::finish(Team &team, WorkClass workClass, double costUs, double heldUs, TimePoint now)
{
    charge(team, heldUs - costUs);
    team.meters[index(workClass)].add(-1, now);
    m_meters[index(workClass)].add(-1, now);
    updateActive(team);
}

void FairQueue::learnSlotTime(Team &team, WorkClass workClass, double heldUs, TimePoint now)
{
    team.slotTime[index(workClass)].add(heldUs, now);
    m_slotTime[index(workClass)].add(heldUs, now);
}

void FairQueue::reclassify(Team &team, TimePoint now)
{
    for (auto *meters : {&team.meters, &m_meters}) {
        (*meters)[index(WorkClass::Short)].add(-1, now);
        (*meters)[index(WorkClass::Long)].add(1, now);
    }
}

std::vector<Team *> FairQueue::backlogged(WorkClass workClass, std::size_t limit) const
{
    const Backlog &backlog = m_backlog[index(workClass)];
    std::vector<Team *> teams;
    for (auto it = backlog.begin(); it != backlog.end() && teams.size() < limit; ++it) {
        teams.push_back(*it);
    }
    return teams;
}

double FairQueue::startInterval(const Team &team, WorkClass workClass, double slots, TimePoint now) const
{
    const std::size_t n = index(workClass);
    // The team gets what the others leave, and at least its share.
    const double others = std::max(0.0, m_meters[n].average(now) - team.meters[n].average(now));
    const double share = slots * team.weight / activeWeightWith(team);
    return slotTime(team, workClass) / std::max(share, slots - others);
}

double FairQueue::slotTime(const Team &team, WorkClass workClass) const
{
    const auto &own = team.slotTime[index(workClass)];
    return own.samples() >= MinSamples ? own.mean() : slotTime(workClass);
}

double FairQueue::slotTime(WorkClass workClass) const
{
    return m_slotTime[index(workClass)].mean();
}

double FairQueue::averageHeld(WorkClass workClass, TimePoint now) const
{
    return m_meters[index(workClass)].average(now);
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

std::size_t FairQueue::size(WorkClass workClass) const
{
    return m_sizes[index(workClass)];
}

void FairQueue::charge(Team &team, double costUs)
{
    // The backlogs are sorted by virtual time.
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
