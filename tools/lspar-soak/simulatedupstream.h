#pragma once

#include "faultproxy.h"
#include "guaranteechecker.h"

#include <random>
#include <string>

namespace laburnumspar::soak {

/// Faults of a simulated upstream. While one is set, it affects a random share of the requests.
enum class UpstreamFault : std::uint8_t {
    None,
    Hang, ///< executes the request, does not respond and finally resets the connection
    Errors, ///< responds with 500
    DropResponse, ///< executes the request, then resets the connection
    Truncate, ///< closes the connection before the response is complete
    DuplicateResponse, ///< sends the response twice
    Shed, ///< rejects the request without executing it
};

/// Name of a fault in the log.
std::string_view nameOf(UpstreamFault fault);

/// Simulated upstream that reports each execution to the GuaranteeChecker. A request whose target ends in "?work_ms=N"
/// is executed for that time, others for a random time.
class SimulatedUpstream
{
public:
    struct Identity {
        std::string id;
        std::string service;
        std::string zone;
        Endpoint address;
    };

    SimulatedUpstream(asio::io_context &context, Identity identity, GuaranteeChecker &checker, std::uint64_t seed);

    void setFault(UpstreamFault fault);
    const Identity &identity() const
    {
        return m_identity;
    }
    /// Value of the upstream's item in the store. `published` is the address under which instances reach it.
    std::string storeEntry(const Endpoint &published, bool draining, unsigned sequence) const;

private:
    using Request = detail::http::request<detail::http::string_body>;

    awaitable<void> serve(tcp::socket socket);
    /// Handles a request. Returns false if the connection is to be closed.
    awaitable<bool> handle(tcp::socket &socket, const Request &request);
    /// Rejects a request as not executed. Returns false if the connection is to be closed.
    awaitable<bool> sendNotExecuted(tcp::socket &socket, detail::http::status status, const std::string &requestId);
    /// Decides at random whether the fault affects the next request.
    bool drawAffected();
    Clock::duration executionTime(std::string_view target);

    asio::io_context &m_context;
    Identity m_identity;
    GuaranteeChecker &m_checker;
    std::mt19937_64 m_random;
    UpstreamFault m_fault = UpstreamFault::None;
    unsigned m_running = 0;
    detail::Listener m_listener;
};

/// Body of the response to a request. Callers compare it to detect incomplete responses and those to other requests.
std::string makeResponseBody(std::string_view requestId, std::string_view target, std::string_view body);

} // namespace laburnumspar::soak
