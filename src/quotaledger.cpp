#include "laburnumspar/quotaledger.h"

#include "detail/duration.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace laburnumspar {

using detail::seconds;

namespace {

/// Time constant of the smoothed rates. Shares follow callers that move to other instances within this time.
constexpr double SmoothingSeconds = 1;
/// Part of the permitted excess that the reserve uses. The rest covers instances whose views differ.
constexpr double ReserveShare = 0.6;
/// Part of the reserve that may be taken at once; the remainder comes back over the window.
constexpr double ReserveBurstShare = 0.5;
/// An active instance counts at least with this part of the mean, and another one at most: the latter is not known to
/// all of them.
constexpr double MinWeight = 0.25;
/// Time for which the part of an active instance that is no longer heard is kept for it. It may still take requests
/// behind a partition.
constexpr Milliseconds SilentPeerTime{10'000};
/// An active instance that has not been heard for this time may be behind a partition. Heartbeats come three times as
/// often.
constexpr Milliseconds SilenceTime{1000};
/// Time for which the demand for an organisation is reported after its share was used up.
constexpr Milliseconds ContendedTime{3000};
/// A reported demand that has not been renewed for this time is not used.
constexpr Milliseconds DemandLifetime{3000};
/// Part of the burst with which an organisation begins at an instance: what was spent before a restart of all instances
/// is not known, and the excess covers no more.
constexpr double InitialBurstShare = 0.25;
/// Largest share of an instance that has just started: it may not have heard of all others yet, and after a restart of
/// all none of them has.
constexpr double StartShare = 0.1;
constexpr Milliseconds DiscoveryTime{2000};
/// Organisations without a request for this time are forgotten. Their buckets are full again by then.
constexpr Milliseconds IdleTime{60'000};
constexpr Milliseconds PruneInterval{10'000};
/// Interval at which the shares are calculated. Heartbeats are further apart.
constexpr Milliseconds SharesInterval{100};
constexpr Milliseconds MinWait{50};
constexpr Milliseconds MaxWait{5000};

} // namespace

void QuotaLedger::SmoothedRate::record(TimePoint now)
{
    perSecond = value(now) + 1 / SmoothingSeconds;
    at = now;
}

double QuotaLedger::SmoothedRate::value(TimePoint now) const
{
    return perSecond * std::exp(-seconds(now - at) / SmoothingSeconds);
}

QuotaLedger::QuotaLedger(std::string selfIp, const QuotaTerms &terms, TimePoint now)
    : m_selfIp(std::move(selfIp))
    , m_terms(terms)
    , m_started(now)
{
}

std::uint64_t QuotaLedger::idOf(std::string_view organisationName)
{
    return XXH3_64bits(organisationName.data(), organisationName.size());
}

void QuotaLedger::recordArrival(TimePoint now)
{
    m_arrivals.record(now);
}

double QuotaLedger::requestRate(TimePoint now) const
{
    return m_arrivals.value(now);
}

std::optional<Milliseconds> QuotaLedger::trySpend(const Organisation &organisation, TimePoint now)
{
    if (!organisation.quota.isLimited()) {
        return std::nullopt;
    }
    updateShares(now);
    auto &account = accountOf(organisation, now);
    account.demand.record(now);
    refill(account, now);
    if (account.tokens >= 1) {
        account.tokens -= 1;
        ++m_counts.ownShare;
        return std::nullopt;
    }
    const double share = shareOf(account, now);
    const bool draws = mayDraw(account, share);
    if (!draws || account.reserve < reserveBurst(account.quota) / 2) {
        account.contendedUntil = now + ContendedTime;
    }
    auto &reportUntil = m_reported[idOf(organisation.name)];
    reportUntil = std::max(reportUntil, std::max(account.contendedUntil, now + Milliseconds(1)));
    if (draws) {
        account.reserve -= 1;
        account.drawn += 1;
        ++m_counts.reserve;
        return std::nullopt;
    }
    ++m_counts.refused;
    const double wait = (1 - account.tokens) / std::max(account.quota.rate * share, 0.001);
    return std::clamp(Milliseconds(std::int64_t(std::ceil(wait * 1000))), MinWait, MaxWait);
}

void QuotaLedger::refund(const std::string &organisationName, TimePoint now)
{
    const auto it = m_accounts.find(idOf(organisationName));
    if (it != m_accounts.end()) {
        it->second.tokens += 1;
        refill(it->second, now);
    }
}

void QuotaLedger::receiveStatus(const InstanceStatus &status, TimePoint now)
{
    if (status.ip == m_selfIp) {
        return;
    }
    auto &peer = m_peers[status.ip];
    if (status.incarnation < peer.incarnation) {
        return;
    }
    if (status.role == InstanceRole::Leaving) {
        m_peers.erase(status.ip);
        return;
    }
    peer = {status.incarnation, status.role == InstanceRole::Active, double(status.requestRate), now};
}

void QuotaLedger::receiveReport(const std::string &ip, const QuotaReport &report, TimePoint now)
{
    auto &account = m_accounts[report.organisation];
    if (account.updatedAt == TimePoint()) {
        account.updatedAt = now;
    }
    account.peers[ip] = {report.demand, now};
    // What others took before the first request here is not known, so the account begins with a part of the reserve.
    account.reserve -= account.name.empty() ? 0 : report.drawn;
    if (report.demand > 0) {
        // The others have to know that there is no demand here, or how much.
        auto &reportUntil = m_reported[report.organisation];
        reportUntil = std::max(reportUntil, now + DemandLifetime / 2);
    }
}

std::vector<QuotaReport> QuotaLedger::takeReports(std::size_t max, TimePoint now)
{
    std::vector<QuotaReport> reports;
    for (auto it = m_reported.begin(); it != m_reported.end();) {
        const auto account = m_accounts.find(it->first);
        if (account != m_accounts.end()) {
            reports.push_back({it->first, account->second.demand.value(now), unsigned(account->second.drawn)});
        }
        it = it->second <= now ? m_reported.erase(it) : std::next(it);
    }
    std::sort(reports.begin(), reports.end(), [](const QuotaReport &a, const QuotaReport &b) {
        return a.drawn != b.drawn ? a.drawn > b.drawn : a.demand > b.demand;
    });
    for (std::size_t n = max; n < reports.size(); ++n) {
        m_reported.try_emplace(reports[n].organisation, now);
    }
    reports.resize(std::min(reports.size(), max));
    for (const auto &it : reports) {
        m_accounts[it.organisation].drawn = 0;
    }
    return reports;
}

void QuotaLedger::prune(TimePoint now)
{
    if (now - m_lastPrune > PruneInterval) {
        m_lastPrune = now;
        std::erase_if(m_accounts, [&](const auto &it) { return now - it.second.updatedAt > IdleTime; });
    }
}

std::vector<QuotaLedger::Summary> QuotaLedger::largest(std::size_t max, TimePoint now) const
{
    std::vector<Summary> result;
    for (const auto &[id, account] : m_accounts) {
        if (!account.name.empty()) {
            result.push_back({account.name,
                              shareOf(account, now),
                              account.tokens,
                              account.demand.value(now),
                              account.contendedUntil > now});
        }
    }
    const auto count = std::min(max, result.size());
    std::partial_sort(result.begin(),
                      result.begin() + std::ptrdiff_t(count),
                      result.end(),
                      [](const Summary &a, const Summary &b) { return a.demand > b.demand; });
    result.resize(count);
    return result;
}

QuotaLedger::Account &QuotaLedger::accountOf(const Organisation &organisation, TimePoint now)
{
    auto &account = m_accounts[idOf(organisation.name)];
    if (account.name.empty()) {
        account.name = organisation.name;
        account.quota = organisation.quota;
        account.updatedAt = now;
        // A process that has seen other organisations for longer has also been able to see this one.
        const bool fresh = now - m_started < m_terms.window;
        const double share = shareOf(account, now);
        account.tokens = std::max(1.0, account.quota.burst * share * (fresh ? InitialBurstShare : 1));
        account.reserve += reserveBurst(account.quota) * (fresh ? 0.5 : 1);
    }
    account.quota = organisation.quota;
    return account;
}

void QuotaLedger::refill(Account &account, TimePoint now) const
{
    const double elapsed = std::max(0.0, seconds(now - account.updatedAt));
    const double share = shareOf(account, now);
    account.updatedAt = now;
    const double limit = std::max(1.0, account.quota.burst * share);
    account.tokens = std::min(account.tokens + account.quota.rate * share * elapsed, limit);
    account.reserve = std::min(account.reserve + reserveRate(account.quota) * m_shares.heard * elapsed,
                               std::max(1.0, reserveBurst(account.quota)));
}

/// An instance behind a partition may take as much as it did before, so its part is kept for a while.
void QuotaLedger::updateShares(TimePoint now)
{
    if (now - m_shares.calculatedAt < SharesInterval) {
        return;
    }
    m_shares.calculatedAt = now;
    std::erase_if(m_peers, [&](const auto &it) { return now - it.second.heardAt > SilentPeerTime; });
    const double limit = now - m_started < DiscoveryTime ? StartShare : 1;
    if (m_peers.empty()) {
        m_shares.own = limit;
        return;
    }
    const double own = requestRate(now);
    double sum = m_active ? own : 0;
    std::size_t active = m_active ? 1 : 0;
    for (const auto &[ip, peer] : m_peers) {
        if (peer.active && !isSilent(peer, now)) {
            sum += peer.requestRate;
            ++active;
        }
    }
    m_shares.meanRate = std::max(sum / double(std::max<std::size_t>(active, 1)), 1.0);
    m_shares.othersWeight = 0;
    double silentWeight = 0;
    for (const auto &[ip, peer] : m_peers) {
        const double weight = weightOf(peer, now);
        m_shares.othersWeight += weight;
        silentWeight += peer.active && isSilent(peer, now) ? weight : 0;
    }
    const double least = MinWeight * m_shares.meanRate;
    const double ownWeight = m_active ? std::max(own, least) : least;
    m_shares.own = std::min(ownWeight / (ownWeight + m_shares.othersWeight), limit);
    m_shares.heard = 1 - silentWeight / (ownWeight + m_shares.othersWeight);
}

bool QuotaLedger::isSilent(const Peer &peer, TimePoint now)
{
    return now - peer.heardAt > SilenceTime;
}

double QuotaLedger::weightOf(const Peer &peer, TimePoint now) const
{
    const double least = MinWeight * m_shares.meanRate;
    if (!peer.active) {
        return std::min(peer.requestRate, least);
    }
    // What a silent instance takes may have grown like that of the others.
    return std::max(peer.requestRate, isSilent(peer, now) ? m_shares.meanRate : least);
}

/// The share of a contended organisation follows the demand for it. Instances that have not reported theirs keep their
/// part.
double QuotaLedger::shareOf(const Account &account, TimePoint now) const
{
    double reported = 0;
    double reportedWeight = 0;
    for (const auto &[ip, demand] : account.peers) {
        const auto peer = m_peers.find(ip);
        if (peer != m_peers.end() && now - demand.at < DemandLifetime) {
            reported += demand.perSecond;
            reportedWeight += weightOf(peer->second, now);
        }
    }
    if (reportedWeight <= 0) {
        return m_shares.own;
    }
    const double own = account.demand.value(now);
    // Instances without demand keep a part all the same, so that their first requests are not refused.
    const double least = MinWeight * (own + reported);
    const double ownDemand = std::max(own, least * m_shares.own);
    const double othersDemand = std::max(reported, least * (1 - m_shares.own));
    const double divided = m_shares.own + (1 - m_shares.own) * reportedWeight / m_shares.othersWeight;
    return ownDemand / (ownDemand + othersDemand) * divided;
}

/// Between two reports an instance may take its share of the reserve, or one request. The part of instances that are
/// not heard stays, since their draws are not known.
bool QuotaLedger::mayDraw(const Account &account, double share) const
{
    const double available = account.reserve - (1 - m_shares.heard) * reserveBurst(account.quota);
    return available >= 1 && account.drawn + 1 <= std::max(1.0, share * (available + account.drawn));
}

double QuotaLedger::reserveRate(const Quota &quota) const
{
    const double perWindow = (1 - ReserveBurstShare) * m_terms.excessRequests;
    return ReserveShare * (m_terms.excessShare * quota.rate + perWindow / seconds(m_terms.window));
}

double QuotaLedger::reserveBurst(const Quota &quota) const
{
    return ReserveShare * (m_terms.excessShare * quota.burst + ReserveBurstShare * m_terms.excessRequests);
}

} // namespace laburnumspar
