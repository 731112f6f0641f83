#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnumspar::soak {

/// Keeps what callers and upstreams see, and notes each broken promise.
class Promises
{
public:
    void sent(const std::string &request, bool idempotent);
    void ran(const std::string &request, const std::string &upstream, TimePoint now);
    /// The caller was told that its request has not run and never will.
    void toldNotRun(const std::string &request);
    void answered(const std::string &request, bool whole);
    void failed(const std::string &request);
    bool hasRun(const std::string &request) const;
    /// The store has acknowledged that the upstream leaves.
    void leaving(const std::string &upstream, TimePoint now);
    /// A request used a route that came with this version.
    void sawVersion(const std::string &process, std::uint64_t version);
    /// A request did not find the route that came with this version. `seenBefore`: version that was in force on the
    /// process before the request was sent; `required`: the oldest one that may be in force.
    void
    missedVersion(const std::string &process, std::uint64_t version, std::uint64_t seenBefore, std::uint64_t required);
    /// Newest version seen in force on the process; 0 if none.
    std::uint64_t newestSeen(const std::string &process) const;
    void broken(const std::string &what);

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    /// Requests answered with success since the last call, of all that have ended since.
    double takeServedShare();
    std::string summary() const;

private:
    struct Request {
        bool idempotent = false;
        bool toldNotRun = false;
        unsigned runs = 0;
    };

    std::map<std::string, Request> m_requests;
    std::map<std::string, TimePoint> m_leaving;
    std::map<std::string, std::uint64_t> m_versions; ///< newest seen, by process
    std::vector<std::string> m_violations;
    std::uint64_t m_served = 0;
    std::uint64_t m_ended = 0;
    std::uint64_t m_servedSince = 0;
    std::uint64_t m_endedSince = 0;
    std::uint64_t m_notRun = 0;
};

} // namespace laburnumspar::soak
