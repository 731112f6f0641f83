#pragma once

#include "gateway/serviceregistry.h"
#include "laburnumspar/platformdialect.h"

#include <memory>

/// What tests of the request path share: names of headers, a table with one route, and upstreams of its service.
namespace laburnumspar::detail {

inline const ForwardingHeaders headers{
    "X-Id", "X-Left", "X-Own", "X-For", "X-Load", "X-Not-Run", "X-Rate", "X-Leaving", "X-Key", "X-Organisation"};

/// Routes of which one takes all requests of "a.example".
inline std::shared_ptr<const RouteTable> makeTable(bool idempotent, unsigned attempts = 1)
{
    Route route;
    route.name = "all";
    route.host = "a.example";
    route.prefix = "/";
    route.targets = {{"orders", 1}};
    route.idempotent = idempotent;
    route.attempts = attempts;
    RouteTable::Builder builder(1);
    builder.service("orders", {"/healthz", 0});
    builder.route(route);
    return builder.build();
}

/// Registers an upstream of four slots for the only route.
inline void registerUpstream(ServiceRegistry &registry, const std::string &id, const Endpoint &address)
{
    RegisteredUpstream upstream;
    upstream.id = id;
    upstream.service = "orders";
    upstream.address = address;
    upstream.zone = "palermo";
    upstream.slots = 4;
    registry.putUpstream(upstream, Clock::now());
}

} // namespace laburnumspar::detail
