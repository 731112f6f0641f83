#include "net/requestframing.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace laburnumspar::detail {

namespace {

/// Whether `codings` is a list of several codings that ends with chunked, each applied once.
bool isCodedBeforeChunked(std::string codings)
{
    constexpr std::string_view Last = "chunked";
    boost::algorithm::trim(codings);
    if (!boost::algorithm::iends_with(codings, Last)) {
        return false;
    }
    codings.resize(codings.size() - Last.size());
    boost::algorithm::trim(codings);
    return codings.ends_with(',') && !boost::algorithm::icontains(codings, Last);
}

} // namespace

std::optional<http::status> framingError(const http::request_header<> &head)
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    if (first == last) {
        return std::nullopt;
    }
    // HTTP/1.0 has no transfer codings, and a length beside one is an attempt to hide a request from one of the
    // readers.
    if (head.version() < 11 || head.count(http::field::content_length) > 0) {
        return http::status::bad_request;
    }
    std::string codings;
    for (auto it = first; it != last; ++it) {
        codings.append(codings.empty() ? "" : ", ").append(it->value());
    }
    if (boost::algorithm::iequals(boost::algorithm::trim_copy(codings), "chunked")) {
        return std::nullopt;
    }
    return isCodedBeforeChunked(codings) ? http::status::not_implemented : http::status::bad_request;
}

} // namespace laburnumspar::detail
