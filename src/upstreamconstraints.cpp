#include "laburnumspar/upstreamconstraints.h"

#include <algorithm>
#include <charconv>

namespace laburnumspar {

namespace {

/// An upstream that leaves has stopped long before.
constexpr Milliseconds MaxConstraintAge{600'000};
/// A longer pause counts as this one, so that a wrong value does not take an upstream out of use for good.
constexpr Milliseconds MaxPause{300'000};
/// Unused requests that are saved at most, as the time in which the rate allows them.
constexpr double BurstSeconds = 0.5;
/// A lower rate means that the upstream takes no requests.
constexpr double MinRate = 0.001;

double seconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Parses a decimal number that is not negative.
std::optional<double> parseNumber(std::string_view text)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [next, ec] = std::from_chars(text.data(), end, number);
    return ec == std::errc() && next == end && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

Milliseconds parsePause(std::string_view text)
{
    constexpr double MaxSeconds = 3600;
    return Milliseconds(std::int64_t(1000 * std::min(parseNumber(text).value_or(0), MaxSeconds)));
}

double parseRequestRate(std::string_view text)
{
    return parseNumber(text).value_or(UpstreamNotice::Unlimited);
}

bool UpstreamConstraints::apply(const std::string &id,
                                std::int64_t startedAtMs,
                                const UpstreamNotice &notice,
                                TimePoint now)
{
    const auto known = m_constraints.find(id);
    const bool asksForNothing
        = !notice.leaving && notice.pause.count() <= 0 && notice.requestRate == UpstreamNotice::Unlimited;
    if (known == m_constraints.end() && asksForNothing) {
        return false;
    }
    if (known != m_constraints.end() && startedAtMs < known->second.startedAtMs) {
        return false;
    }
    setProcess(id, startedAtMs);
    auto &constraint = m_constraints[id];
    const bool changed = notice.pause.count() > 0 || (notice.leaving && !constraint.leaving)
        || notice.requestRate != constraint.requestRate;
    constraint.startedAtMs = startedAtMs;
    constraint.noticedAt = now;
    constraint.leaving = constraint.leaving || notice.leaving;
    constraint.pausedUntil = std::max(constraint.pausedUntil, now + std::min(notice.pause, MaxPause));
    if (constraint.requestRate == UpstreamNotice::Unlimited) {
        constraint.allowance = 0;
        constraint.allowanceAt = now;
    }
    constraint.requestRate = notice.requestRate;
    return changed;
}

void UpstreamConstraints::setProcess(const std::string &id, std::int64_t startedAtMs)
{
    const auto it = m_constraints.find(id);
    if (it != m_constraints.end() && it->second.startedAtMs != startedAtMs) {
        m_constraints.erase(it);
    }
}

std::optional<TimePoint> UpstreamConstraints::allowedFrom(const std::string &id, double rateShare, TimePoint now) const
{
    const auto it = m_constraints.find(id);
    if (it == m_constraints.end()) {
        return now;
    }
    if (it->second.leaving) {
        return std::nullopt;
    }
    const auto from = std::max(now, it->second.pausedUntil);
    const double missing = 1 - allowance(it->second, rateShare, now);
    if (missing <= 0) {
        return from;
    }
    const double rate = it->second.requestRate * rateShare;
    if (rate < MinRate) {
        return std::nullopt;
    }
    return std::max(from, now + std::chrono::ceil<Clock::duration>(std::chrono::duration<double>(missing / rate)));
}

bool UpstreamConstraints::isPaused(const std::string &id, TimePoint now) const
{
    const auto it = m_constraints.find(id);
    return it != m_constraints.end() && (it->second.leaving || now < it->second.pausedUntil);
}

double UpstreamConstraints::requestsAllowed(const std::string &id, double rateShare, TimePoint now) const
{
    const auto it = m_constraints.find(id);
    if (it == m_constraints.end()) {
        return UpstreamNotice::Unlimited;
    }
    return isPaused(id, now) ? 0 : std::max(0.0, allowance(it->second, rateShare, now));
}

void UpstreamConstraints::recordRequest(const std::string &id, double rateShare, TimePoint now)
{
    const auto it = m_constraints.find(id);
    if (it == m_constraints.end() || it->second.requestRate == UpstreamNotice::Unlimited) {
        return;
    }
    it->second.allowance = allowance(it->second, rateShare, now) - 1;
    it->second.allowanceAt = now;
}

double UpstreamConstraints::requestRate(const std::string &id) const
{
    const auto it = m_constraints.find(id);
    return it == m_constraints.end() ? UpstreamNotice::Unlimited : it->second.requestRate;
}

/// Token bucket: grows with the rate and holds the requests of BurstSeconds, at least one.
double UpstreamConstraints::allowance(const Constraint &constraint, double rateShare, TimePoint now)
{
    if (constraint.requestRate == UpstreamNotice::Unlimited) {
        return UpstreamNotice::Unlimited;
    }
    const double rate = constraint.requestRate * rateShare;
    const double grown = constraint.allowance + rate * seconds(now - constraint.allowanceAt);
    return std::min(grown, std::max(1.0, rate * BurstSeconds));
}

void UpstreamConstraints::prune(TimePoint now)
{
    std::erase_if(m_constraints, [now](const auto &it) { return now - it.second.noticedAt > MaxConstraintAge; });
}

} // namespace laburnumspar
