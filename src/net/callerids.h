#pragma once

#include "laburnumspar/claims.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace laburnumspar::detail {

/// Maps request identifiers which callers made to identifiers of this instance, so that a repeat at this instance is
/// recognised. A repeat at another instance is not.
class CallerIds
{
public:
    /// Empty if the table is full.
    std::optional<RequestId> idFor(const std::string &team, const std::string &text, ClaimTable &claims, TimePoint now);

private:
    struct Entry {
        RequestId id;
        TimePoint at;
    };

    void expire(TimePoint now);

    std::unordered_map<std::string, Entry> m_entries;
    std::deque<std::string> m_order; ///< oldest first
};

} // namespace laburnumspar::detail
