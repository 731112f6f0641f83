#pragma once

#include "connectionpool.h"

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
class AddressCache
{
public:
    struct Config {
        std::vector<Endpoint> entries; ///< instances that may be asked
        std::string service;
        std::string zone;
        unsigned maxAddresses = 3; ///< how many of the offered addresses are kept
        unsigned requestIdCount = 0; ///< request identifiers to ask for
    };
    /// A request identifier and the instance that owns it.
    struct OwnedRequestId {
        std::string requestId;
        std::optional<Endpoint> owner;
    };
    AddressCache(boost::asio::any_io_executor executor, Config config, std::uint64_t seed);

    struct Selection {
        std::vector<Endpoint> addresses; ///< in the order to try them, the owner of the identifier first; may be empty
        std::string requestId; ///< empty unless one was wanted and is there
    };
    /// Kept addresses, asked for anew after their lifetime or when an identifier is wanted and none is left.
    boost::asio::awaitable<Selection> select(ConnectionPool &pool, bool needsRequestId, TimePoint deadline);
    /// Adds an identifier that came with an answer.
    void addRequestId(OwnedRequestId ownedId);

private:
    bool isFresh(bool needsRequestId) const;
    boost::asio::awaitable<void> refresh(ConnectionPool &pool, TimePoint deadline);
    bool applyAnswer(const std::string &body);
    void applyRequestIds(const boost::json::object &answer);

    Config m_config;
    std::mt19937_64 m_random;
    std::vector<Endpoint> m_addresses;
    std::deque<OwnedRequestId> m_requestIds;
    TimePoint m_validUntil;
    std::size_t m_nextFirst = 0;
    bool m_refreshing = false;
    boost::asio::steady_timer m_refreshDone;
};

} // namespace laburnumspar::tools
