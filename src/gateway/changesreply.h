#pragma once

#include "gateway/storecopy.h"
#include "net/httpserver.h"

#include <deque>

namespace laburnumspar::detail {

/// Returns the request target by which an instance asks another one for the changes after a revision.
std::string changesTarget(Revision after);

/// Answers requests for the changes in a copy of the store. Instances of a zone ask for the same ones after each
/// change, so that they are encoded and compressed once for all.
class ChangesReplies
{
public:
    /// Refuses other targets than that of changesTarget().
    HttpResponse answer(const HttpRequest &request, const StoreCopy &copy);
    /// Number of bodies that were encoded so far.
    std::uint64_t encoded() const
    {
        return m_encoded;
    }

private:
    struct Body {
        Revision after;
        bool compressed = false;
        std::string bytes;
    };

    const Body &body(Revision after, bool compress, const StoreCopy &copy);

    std::deque<Body> m_bodies; ///< of the current content, the oldest first
    std::uint64_t m_changeCount = 0; ///< of the copy when m_bodies were encoded
    std::uint64_t m_encoded = 0;
};

} // namespace laburnumspar::detail
