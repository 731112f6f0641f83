#pragma once

#include "gateway/messagebody.h"
#include "laburnumspar/upstreamregistry.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumspar::detail {

/// Identifies requests that ask a service for the same, whoever sends them. Equal at all instances.
using RequestDigest = std::uint64_t;
/// Identifies one process of an upstream. Equal at all instances.
using ProcessDigest = std::uint64_t;

RequestDigest requestDigest(std::string_view service,
                            std::string_view method,
                            std::string_view host,
                            std::string_view target,
                            const MessageBody &body);
ProcessDigest processDigest(const RegisteredUpstream &upstream);

/// What an instance tells the others about a request under which upstreams crashed.
struct SuspectReport {
    struct Crash {
        ProcessDigest process = 0;
        Milliseconds age{0};
        bool refuted = false; ///< the process has answered a request since
    };

    RequestDigest request = 0;
    std::optional<Milliseconds> answerAge; ///< time since an upstream last answered the request
    std::vector<Crash> crashes;
};

/// Remembers the requests that were lost when upstreams closed their connections, and which of them must not be sent to
/// a further upstream because several have ended under them.
///
/// All requests that run on an upstream are lost when it crashes, so one crash says little about each of them. A
/// request is blocked once two processes have ended under it without an answer to it since. After a while it is allowed
/// one trial at a time. A crash is refuted when the process answers a later request. Performs no I/O. Not thread-safe.
class CrashSuspects
{
public:
    /// Crashes after which a request is blocked.
    static constexpr std::size_t CrashesUntilBlocked = 2;
    /// Time from the last crash to the next trial.
    static constexpr Milliseconds BlockTime{30'000};
    /// Time for which a crash is remembered.
    static constexpr Milliseconds MemoryTime{60'000};
    /// Time within which a trial ends.
    static constexpr Milliseconds TrialTime{5000};
    /// Bound of the remembered requests.
    static constexpr std::size_t MaxSuspects = 256;
    /// Crashes that are remembered per request.
    static constexpr std::size_t MaxCrashes = 4;

    /// Records that an upstream closed the connection on which it ran the request.
    void recordCrash(RequestDigest request, ProcessDigest process, TimePoint now);
    /// Records that an upstream has answered a request that was sent to it at `sentAt`, which refutes earlier crashes.
    void recordAlive(ProcessDigest process, TimePoint sentAt, TimePoint now);
    /// Records that an upstream has run the request and answered it.
    void recordAnswer(RequestDigest request, TimePoint now);
    /// Records that the request is sent to an upstream.
    void recordStart(RequestDigest request, TimePoint now);
    /// Number of processes that have crashed under the request since it was last answered.
    std::size_t crashes(RequestDigest request, TimePoint now) const;
    /// End of the time for which the request must not be sent; nothing if it may be sent.
    std::optional<TimePoint> blockedUntil(RequestDigest request, TimePoint now) const;

    /// Forgets what is too old. Returns what has been learned here since the last call, and all blocked requests once
    /// per report interval, so that instances that have started since then learn them too.
    std::vector<SuspectReport> takeReports(TimePoint now);
    /// Adds what another instance has learned.
    void merge(const SuspectReport &report, TimePoint now);

private:
    struct Crash {
        ProcessDigest process = 0;
        TimePoint at;
        bool refuted = false;
    };
    struct Suspect {
        std::vector<Crash> crashes;
        std::optional<TimePoint> answeredAt;
        TimePoint startedAt; ///< of the last attempt
        bool changed = false; ///< since the last report
    };

    static bool counts(const Suspect &suspect, const Crash &crash, TimePoint now);
    static std::size_t crashes(const Suspect &suspect, TimePoint now);
    Crash &addCrash(Suspect &suspect, ProcessDigest process, TimePoint at);
    Suspect &suspect(RequestDigest request);
    void prune(TimePoint now);

    std::unordered_map<RequestDigest, Suspect> m_suspects;
    TimePoint m_lastFullReport;
};

} // namespace laburnumspar::detail
