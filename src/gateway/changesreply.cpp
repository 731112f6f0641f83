#include "gateway/changesreply.h"

#include "gateway/compression.h"
#include "gateway/groupmessages.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

constexpr std::string_view ChangesTarget = "/changes?after=";
/// Smaller answers are not compressed.
constexpr std::size_t MinCompressedBytes = 2000;
/// Instances differ in the revision that they know by one or two reads of the store.
constexpr std::size_t MaxBodies = 4;

/// Size of the values that are sent as they were compressed before.
std::size_t compressedBytes(const MirrorChanges &changes)
{
    std::size_t n = 0;
    for (const auto &it : changes.items) {
        n += it.compressed != nullptr ? it.compressed->size() : 0;
    }
    return n;
}

} // namespace

std::string changesTarget(Revision after)
{
    return std::string(ChangesTarget) + toString(after);
}

HttpResponse ChangesReplies::answer(const HttpRequest &request, const StoreCopy &copy)
{
    const std::string target(request.target());
    if (!target.starts_with(ChangesTarget)) {
        return makeResponse(http::status::not_found, "text/plain", "unknown target\n");
    }
    const auto after = parseRevision(std::string_view(target).substr(ChangesTarget.size()));
    if (!after) {
        return makeResponse(http::status::bad_request, "text/plain", "invalid revision\n");
    }
    const auto &known = body(*after, request[http::field::accept_encoding] == CompressedEncoding, copy);
    auto response = makeResponse(http::status::ok, "application/octet-stream", known.bytes);
    if (known.compressed) {
        response.set(http::field::content_encoding, CompressedEncoding);
    }
    return response;
}

const ChangesReplies::Body &ChangesReplies::body(Revision after, bool compress, const StoreCopy &copy)
{
    if (copy.changeCount() != m_changeCount) {
        m_bodies.clear();
        m_changeCount = copy.changeCount();
    }
    const auto known = std::find_if(m_bodies.begin(), m_bodies.end(), [&](const Body &it) {
        return it.after == after && (!it.compressed || compress);
    });
    if (known != m_bodies.end()) {
        return *known;
    }
    const auto changes = copy.changesAfter(after);
    const auto bytes = encodeChanges(changes);
    Body body{after, false, std::string(bytes.begin(), bytes.end())};
    if (compress && bytes.size() - compressedBytes(changes) > MinCompressedBytes) {
        body.compressed = true;
        body.bytes = detail::compress(body.bytes);
    }
    ++m_encoded;
    if (m_bodies.size() >= MaxBodies) {
        m_bodies.pop_front();
    }
    return m_bodies.emplace_back(std::move(body));
}

} // namespace laburnumspar::detail
