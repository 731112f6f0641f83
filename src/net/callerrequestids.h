#pragma once

#include "laburnumspar/claims.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace laburnumspar::detail {

/// Maps request identifiers chosen by callers to identifiers issued by this instance, so that a retry of the same
/// request at this instance is recognised. A retry at another instance is not. Not thread-safe.
class CallerRequestIds
{
public:
    /// Returns the issued identifier for the text chosen by a caller of the team; issues a new one for an unknown text.
    /// Empty if the table is full or MaxRequestIdsPerSecond is reached.
    std::optional<RequestId> idFor(const std::string &team, const std::string &text, ClaimTable &claims, TimePoint now);

private:
    struct Entry {
        RequestId id;
        TimePoint at; ///< when the identifier was issued
    };

    void expire(TimePoint now);

    std::unordered_map<std::string, Entry> m_entries;
    std::deque<std::string> m_order; ///< oldest first
};

} // namespace laburnumspar::detail
