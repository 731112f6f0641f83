#pragma once

#include "faultproxy.h"
#include "guaranteechecker.h"

#include <random>
#include <string>

namespace laburnumspar::soak {

enum class UpstreamFault : std::uint8_t {
    None,
    Hang, ///< runs most of its work and does not answer
    Errors,
    LoseAnswer, ///< runs the work, then resets the connection
    Truncate, ///< breaks off its answers
    Extra, ///< answers twice
    Shed, ///< refuses most of its work
};

std::string_view nameOf(UpstreamFault fault);

/// One upstream on a loopback address.
class UpstreamStandIn
{
public:
    struct Identity {
        std::string id;
        std::string service;
        std::string zone;
        Endpoint address;
    };

    UpstreamStandIn(asio::io_context &context, Identity identity, Promises &promises, std::uint64_t seed);

    void setFault(UpstreamFault fault);
    const Identity &identity() const
    {
        return m_identity;
    }
    /// Value of its entry in the store. `published`: where instances reach it; `draining`: it has begun to leave.
    std::string entry(const Endpoint &published, bool draining, unsigned sequence) const;

private:
    using Request = detail::http::request<detail::http::string_body>;

    awaitable<void> serve(tcp::socket socket);
    awaitable<bool> answer(tcp::socket &socket, const Request &request);
    awaitable<bool> refuse(tcp::socket &socket, detail::http::status status, const std::string &requestId);
    bool faulty();

    asio::io_context &m_context;
    Identity m_identity;
    Promises &m_promises;
    std::mt19937_64 m_random;
    UpstreamFault m_fault = UpstreamFault::None;
    unsigned m_running = 0;
    detail::Listener m_listener;
};

/// Body of the answer to a request, by which a caller knows it.
std::string answerBody(std::string_view requestId, std::string_view target, std::string_view body);

} // namespace laburnumspar::soak
