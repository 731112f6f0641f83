#include "gateway/crashsuspects.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace laburnumspar::detail {

namespace {

/// Interval at which blocked requests are reported again.
constexpr Milliseconds FullReportInterval{1000};

} // namespace

RequestDigest requestDigest(std::string_view service,
                            std::string_view method,
                            std::string_view host,
                            std::string_view target,
                            const MessageBody &body)
{
    // Each part is hashed with the digest of the parts before it as seed, so that their borders matter.
    RequestDigest digest = 0;
    for (const auto part : {service, method, host, target}) {
        digest = XXH64(part.data(), part.size(), digest);
    }
    // Where a body is divided into pieces differs between instances.
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(), XXH64_freeState);
    XXH64_reset(state.get(), digest);
    std::vector<asio::const_buffer> pieces;
    body.appendTo(pieces);
    for (const auto &it : pieces) {
        XXH64_update(state.get(), it.data(), it.size());
    }
    return XXH64_digest(state.get());
}

ProcessDigest processDigest(const RegisteredUpstream &upstream)
{
    return XXH64(upstream.id.data(), upstream.id.size(), std::uint64_t(upstream.startedAtMs));
}

void CrashSuspects::recordCrash(RequestDigest request, ProcessDigest process, TimePoint now)
{
    auto &it = suspect(request);
    auto &crash = addCrash(it, process, now);
    // The process was alive after an earlier loss, and has ended since.
    if (crash.refuted) {
        crash = {process, now};
    }
    it.changed = true;
}

void CrashSuspects::recordAlive(ProcessDigest process, TimePoint sentAt, TimePoint now)
{
    for (auto &[request, it] : m_suspects) {
        for (auto &crash : it.crashes) {
            if (crash.process == process && crash.at < sentAt && !crash.refuted) {
                it.changed = it.changed || counts(it, crash, now);
                crash.refuted = true;
            }
        }
    }
}

void CrashSuspects::recordAnswer(RequestDigest request, TimePoint now)
{
    const auto it = m_suspects.find(request);
    if (it != m_suspects.end()) {
        it->second.changed = it->second.changed || crashes(it->second, now) > 0;
        it->second.answeredAt = now;
    }
}

void CrashSuspects::recordStart(RequestDigest request, TimePoint now)
{
    const auto it = m_suspects.find(request);
    if (it != m_suspects.end()) {
        it->second.startedAt = now;
    }
}

std::size_t CrashSuspects::crashes(RequestDigest request, TimePoint now) const
{
    const auto it = m_suspects.find(request);
    return it == m_suspects.end() ? 0 : crashes(it->second, now);
}

std::optional<TimePoint> CrashSuspects::blockedUntil(RequestDigest request, TimePoint now) const
{
    const auto it = m_suspects.find(request);
    if (it == m_suspects.end() || crashes(it->second, now) < CrashesUntilBlocked) {
        return std::nullopt;
    }
    // A trial that has been cancelled leaves no trace, so that its end is assumed.
    auto until = it->second.startedAt + TrialTime;
    for (const auto &crash : it->second.crashes) {
        until = counts(it->second, crash, now) ? std::max(until, crash.at + BlockTime) : until;
    }
    return until > now ? std::optional(until) : std::nullopt;
}

std::vector<SuspectReport> CrashSuspects::takeReports(TimePoint now)
{
    if (m_suspects.empty()) {
        return {};
    }
    prune(now);
    const bool full = now - m_lastFullReport >= FullReportInterval;
    m_lastFullReport = full ? now : m_lastFullReport;
    const auto age = [now](TimePoint at) { return std::chrono::duration_cast<Milliseconds>(now - at); };
    std::vector<SuspectReport> reports;
    for (auto &[request, it] : m_suspects) {
        if (!std::exchange(it.changed, false) && !(full && crashes(it, now) >= CrashesUntilBlocked)) {
            continue;
        }
        auto &report = reports.emplace_back();
        report.request = request;
        if (it.answeredAt) {
            report.answerAge = age(*it.answeredAt);
        }
        for (const auto &crash : it.crashes) {
            report.crashes.push_back({crash.process, age(crash.at), crash.refuted});
        }
    }
    return reports;
}

void CrashSuspects::merge(const SuspectReport &report, TimePoint now)
{
    auto &it = suspect(report.request);
    if (report.answerAge) {
        it.answeredAt = std::max(it.answeredAt.value_or(TimePoint()), now - *report.answerAge);
    }
    for (const auto &reported : report.crashes) {
        auto &crash = addCrash(it, reported.process, now - reported.age);
        crash.refuted = crash.refuted || reported.refuted;
    }
    prune(now);
}

bool CrashSuspects::counts(const Suspect &suspect, const Crash &crash, TimePoint now)
{
    return !crash.refuted && now - crash.at < MemoryTime && (!suspect.answeredAt || crash.at > *suspect.answeredAt);
}

std::size_t CrashSuspects::crashes(const Suspect &suspect, TimePoint now)
{
    return std::size_t(std::count_if(suspect.crashes.begin(), suspect.crashes.end(), [&](const Crash &crash) {
        return counts(suspect, crash, now);
    }));
}

/// Returns the crash of the process. A known one keeps its time, so that it does not get younger by being passed on.
CrashSuspects::Crash &CrashSuspects::addCrash(Suspect &suspect, ProcessDigest process, TimePoint at)
{
    auto &crashes = suspect.crashes;
    const auto known = std::find_if(
        crashes.begin(), crashes.end(), [process](const Crash &crash) { return crash.process == process; });
    if (known != crashes.end()) {
        return *known;
    }
    if (crashes.size() >= MaxCrashes) {
        crashes.erase(std::min_element(
            crashes.begin(), crashes.end(), [](const Crash &a, const Crash &b) { return a.at < b.at; }));
    }
    return crashes.emplace_back(Crash{process, at});
}

CrashSuspects::Suspect &CrashSuspects::suspect(RequestDigest request)
{
    const auto newestCrash = [](const Suspect &it) {
        TimePoint newest;
        for (const auto &crash : it.crashes) {
            newest = std::max(newest, crash.at);
        }
        return newest;
    };
    if (!m_suspects.contains(request) && m_suspects.size() >= MaxSuspects) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [&](const auto &a, const auto &b) {
            const auto key = [&](const Suspect &it) { return std::pair(it.crashes.size(), newestCrash(it)); };
            return key(a.second) < key(b.second);
        }));
    }
    return m_suspects[request];
}

void CrashSuspects::prune(TimePoint now)
{
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        auto &crashes = it->second.crashes;
        std::erase_if(crashes, [now](const Crash &crash) { return now - crash.at >= MemoryTime; });
        it = crashes.empty() ? m_suspects.erase(it) : std::next(it);
    }
}

} // namespace laburnumspar::detail
