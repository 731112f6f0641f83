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

/// Caches the instance addresses and request identifiers that one caller holds for one service. Not thread-safe.
class AddressCache
{
public:
    /// What to query for.
    struct Config {
        std::vector<Endpoint> entries; ///< entry instances that are queried for addresses
        std::string service;
        std::string zone; ///< zone of the caller
        unsigned maxAddresses = 3; ///< addresses kept from one answer
        unsigned requestIdCount = 0; ///< request identifiers fetched with each refresh
    };
    /// A request identifier and the instance that owns it, if known.
    struct OwnedRequestId {
        std::string requestId;
        std::optional<Endpoint> owner;
    };
    AddressCache(boost::asio::any_io_executor executor, Config config, std::uint64_t seed);

    /// Where to send the next request.
    struct Selection {
        std::vector<Endpoint> addresses; ///< in the order to try, starting with the owner of `requestId`; may be empty
        std::string requestId; ///< empty if none was requested or none is available
    };
    /// Returns the cached addresses, starting with a different one at each call, and a request identifier if
    /// `needsRequestId`. First refreshes the cache if the addresses have expired or a needed identifier is missing;
    /// `deadline` limits the duration of the refresh.
    boost::asio::awaitable<Selection> select(ConnectionPool &pool, bool needsRequestId, TimePoint deadline);
    /// Adds a request identifier that arrived with an answer.
    void addRequestId(OwnedRequestId ownedId);

private:
    bool isFresh(bool needsRequestId) const;
    boost::asio::awaitable<void> refresh(ConnectionPool &pool, TimePoint deadline);
    /// Returns false and changes nothing if the answer contains no usable address.
    bool applyAnswer(const std::string &body);
    void applyRequestIds(const boost::json::object &answer);

    Config m_config;
    std::mt19937_64 m_random;
    std::vector<Endpoint> m_addresses;
    std::deque<OwnedRequestId> m_requestIds;
    TimePoint m_validUntil;
    std::size_t m_nextFirst = 0;
    bool m_refreshing = false;
    boost::asio::steady_timer m_refreshDone; ///< cancelled after a refresh, to wake the calls that wait for it
};

} // namespace laburnumspar::tools
