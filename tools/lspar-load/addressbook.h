#pragma once

#include "connections.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// The addresses and request identifiers that one caller holds for one service. Used by one thread only.
class AddressBook
{
public:
    struct Source {
        std::vector<Endpoint> entries; ///< instances that may be asked
        std::string service;
        std::string zone;
        unsigned keep = 3; ///< how many of the offered addresses are kept
        unsigned identifiers = 0; ///< request identifiers to ask for
    };
    /// A request identifier and the instance that owns it.
    struct Identifier {
        std::string text;
        std::optional<Endpoint> owner;
    };
    AddressBook(boost::asio::any_io_executor executor, Source source, std::uint64_t seed);

    struct Lease {
        std::vector<Endpoint> addresses; ///< in the order to try them, the owner of the identifier first; may be empty
        std::string identifier; ///< empty unless one was wanted and is there
    };
    /// Kept addresses, asked for anew after their lifetime or when an identifier is wanted and none is left.
    boost::asio::awaitable<Lease> lease(Connections &connections, bool wantIdentifier, TimePoint limit);
    /// Adds an identifier that came with an answer.
    void addIdentifier(Identifier identifier);

private:
    bool current(bool wantIdentifier) const;
    boost::asio::awaitable<void> refresh(Connections &connections, TimePoint limit);
    bool take(const std::string &body);
    void takeIdentifiers(const boost::json::object &answer);

    Source m_source;
    std::mt19937_64 m_random;
    std::vector<Endpoint> m_addresses;
    std::deque<Identifier> m_identifiers;
    TimePoint m_validUntil;
    std::size_t m_next = 0;
    bool m_refreshing = false;
    boost::asio::steady_timer m_refreshed;
};

} // namespace laburnumspar::tools
