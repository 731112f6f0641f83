#include "guaranteechecker.h"

namespace laburnumspar::soak {

namespace {

/// Required time after which a draining upstream receives no more requests, counted from when the store accepts its
/// state.
constexpr Milliseconds MaxDrainDelay{2000};
/// Added to MaxDrainDelay, because all processes share one machine and its load delays them.
constexpr Milliseconds LoadTolerance{500};

} // namespace

void GuaranteeChecker::recordSent(const std::string &request, bool idempotent)
{
    m_requests[request].idempotent = idempotent;
}

void GuaranteeChecker::recordExecution(const std::string &request, const std::string &upstream, TimePoint now)
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        recordViolation("executed a request that no caller sent: " + request);
        return;
    }
    if (++it->second.executions > 1 && !it->second.idempotent) {
        recordViolation("executed a non-idempotent request more than once: " + request);
    }
    if (it->second.reportedNotRun && !it->second.idempotent) {
        recordViolation("executed a request after reporting it to the caller as not run: " + request);
    }
    const auto draining = m_drainingSince.find(upstream);
    if (draining != m_drainingSince.end() && now > draining->second + MaxDrainDelay + LoadTolerance) {
        recordViolation("sent a request to a draining upstream: " + request + " at " + upstream);
    }
}

void GuaranteeChecker::recordNotRun(const std::string &request)
{
    auto &it = m_requests[request];
    it.reportedNotRun = true;
    ++m_notRun;
    ++m_ended;
    ++m_endedInWindow;
    if (it.executions > 0 && !it.idempotent) {
        recordViolation("reported an executed request to the caller as not run: " + request);
    }
}

void GuaranteeChecker::recordAnswer(const std::string &request, bool intact)
{
    ++m_answered;
    ++m_answeredInWindow;
    ++m_ended;
    ++m_endedInWindow;
    if (!intact) {
        recordViolation("response is incomplete or belongs to another request: " + request);
    }
}

void GuaranteeChecker::recordFailure(const std::string &)
{
    ++m_ended;
    ++m_endedInWindow;
}

bool GuaranteeChecker::wasExecuted(const std::string &request) const
{
    const auto it = m_requests.find(request);
    return it != m_requests.end() && it->second.executions > 0;
}

void GuaranteeChecker::recordDraining(const std::string &upstream, TimePoint now)
{
    m_drainingSince.try_emplace(upstream, now);
}

void GuaranteeChecker::recordVersion(const std::string &process, std::uint64_t version)
{
    auto &newest = m_newestVersions[process];
    newest = std::max(newest, version);
}

void GuaranteeChecker::recordMissingVersion(const std::string &process,
                                            std::uint64_t version,
                                            std::uint64_t activeBefore,
                                            std::uint64_t required)
{
    const auto describe = [&](std::uint64_t expected) {
        return "version " + std::to_string(version) + " is not active on " + process + ", expected at least "
            + std::to_string(expected);
    };
    if (version <= activeBefore) {
        recordViolation("routes reverted to an older version: " + describe(activeBefore));
    }
    if (version <= required) {
        recordViolation("routes were not updated in time: " + describe(required));
    }
}

std::uint64_t GuaranteeChecker::newestVersion(const std::string &process) const
{
    const auto it = m_newestVersions.find(process);
    return it == m_newestVersions.end() ? 0 : it->second;
}

void GuaranteeChecker::recordViolation(const std::string &description)
{
    m_violations.push_back(description);
}

double GuaranteeChecker::takeSuccessRate()
{
    const double rate = m_endedInWindow == 0 ? 0 : double(m_answeredInWindow) / double(m_endedInWindow);
    m_answeredInWindow = 0;
    m_endedInWindow = 0;
    return rate;
}

std::string GuaranteeChecker::summary() const
{
    return std::to_string(m_ended) + " requests ended, " + std::to_string(m_answered) + " successful, "
        + std::to_string(m_notRun) + " reported as not run, " + std::to_string(m_violations.size())
        + " guarantees violated";
}

} // namespace laburnumspar::soak
