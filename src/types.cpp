#include "laburnumspar/types.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace laburnumspar {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    const auto port = parsePort(text.substr(colon + 1));
    if (ec || !port || address.is_v6() != bracketed) {
        return std::nullopt;
    }
    return Endpoint{address.to_string(), *port};
}

std::string toString(const Endpoint &endpoint)
{
    const bool v6 = endpoint.ip.find(':') != std::string::npos;
    return (v6 ? '[' + endpoint.ip + ']' : endpoint.ip) + ':' + std::to_string(endpoint.port);
}

} // namespace laburnumspar
