#pragma once

#include "connectionpool.h"

#include "outcomecheck.h"

#include <boost/beast/http.hpp>

#include <vector>

namespace laburnumspar::tools {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// What became of a request that was sent to the first address that accepts a connection.
struct ExchangeResult {
    bool sent = false; ///< false: no address accepted a connection
    bool answered = false; ///< the head of an answer arrived
    CallerAnswer answer;
    std::string reason; ///< Lspar-Reason
    std::string nextRequestId; ///< Lspar-Next-Request-Id
    std::string instance; ///< Lspar-Instance, the owner of the next identifier
};

/// Sends the request once; other addresses are tried only while no connection could be opened.
boost::asio::awaitable<ExchangeResult>
exchange(ConnectionPool &pool, std::vector<Endpoint> addresses, HttpRequest request, TimePoint deadline);

} // namespace laburnumspar::tools
