#include "guaranteechecker.h"

namespace laburnumspar::soak {

namespace {

/// Time from the acknowledgement of the store until a leaving upstream gets no more work. The bound of the users is two
/// seconds; the rest covers the load of the machine that runs all processes.
constexpr Milliseconds DrainTime{2000};
constexpr Milliseconds LoadAllowance{500};

} // namespace

void Promises::sent(const std::string &request, bool idempotent)
{
    m_requests[request].idempotent = idempotent;
}

void Promises::ran(const std::string &request, const std::string &upstream, TimePoint now)
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        broken("a request that no caller sent ran: " + request);
        return;
    }
    if (++it->second.runs > 1 && !it->second.idempotent) {
        broken("ran more than once: " + request);
    }
    if (it->second.toldNotRun && !it->second.idempotent) {
        broken("ran after its caller was told that it had not: " + request);
    }
    const auto leaving = m_leaving.find(upstream);
    if (leaving != m_leaving.end() && now > leaving->second + DrainTime + LoadAllowance) {
        broken("reached a leaving upstream: " + request + " at " + upstream);
    }
}

void Promises::toldNotRun(const std::string &request)
{
    auto &it = m_requests[request];
    it.toldNotRun = true;
    ++m_notRun;
    ++m_ended;
    ++m_endedSince;
    if (it.runs > 0 && !it.idempotent) {
        broken("told as not run although it had run: " + request);
    }
}

void Promises::answered(const std::string &request, bool whole)
{
    ++m_served;
    ++m_servedSince;
    ++m_ended;
    ++m_endedSince;
    if (!whole) {
        broken("an answer that is not whole or not its own: " + request);
    }
}

void Promises::failed(const std::string &)
{
    ++m_ended;
    ++m_endedSince;
}

bool Promises::hasRun(const std::string &request) const
{
    const auto it = m_requests.find(request);
    return it != m_requests.end() && it->second.runs > 0;
}

void Promises::leaving(const std::string &upstream, TimePoint now)
{
    m_leaving.try_emplace(upstream, now);
}

void Promises::sawVersion(const std::string &process, std::uint64_t version)
{
    auto &newest = m_versions[process];
    newest = std::max(newest, version);
}

void Promises::missedVersion(const std::string &process,
                             std::uint64_t version,
                             std::uint64_t seenBefore,
                             std::uint64_t required)
{
    const auto describe = [&](std::uint64_t expected) {
        return "version " + std::to_string(version) + " is not in force at " + process + ", expected at least "
            + std::to_string(expected);
    };
    if (version <= seenBefore) {
        broken("went back: " + describe(seenBefore));
    }
    if (version <= required) {
        broken("too late: " + describe(required));
    }
}

std::uint64_t Promises::newestSeen(const std::string &process) const
{
    const auto it = m_versions.find(process);
    return it == m_versions.end() ? 0 : it->second;
}

void Promises::broken(const std::string &what)
{
    m_violations.push_back(what);
}

double Promises::takeServedShare()
{
    const double share = m_endedSince == 0 ? 0 : double(m_servedSince) / double(m_endedSince);
    m_servedSince = 0;
    m_endedSince = 0;
    return share;
}

std::string Promises::summary() const
{
    return std::to_string(m_ended) + " requests ended, " + std::to_string(m_served) + " served, "
        + std::to_string(m_notRun) + " refused as not run, " + std::to_string(m_violations.size()) + " promises broken";
}

} // namespace laburnumspar::soak
