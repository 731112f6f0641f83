#pragma once

#include "connectionpool.h"

#include "outcomecheck.h"

#include <boost/beast/http.hpp>

#include <vector>

namespace laburnumspar::tools {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Result of sending a request to the first address that accepts a connection.
struct ExchangeResult {
    bool sent = false; ///< false if no address accepted a connection
    bool answered = false; ///< true if the header of an answer was received
    CallerAnswer answer;
    std::string reason; ///< value of Lspar-Reason
    std::string nextRequestId; ///< value of Lspar-Next-Request-Id
    std::string instance; ///< value of Lspar-Instance: address of the owner of `nextRequestId`
};

/// Sends the request once, over the first connection that can be opened. Does not retry after that.
boost::asio::awaitable<ExchangeResult>
exchange(ConnectionPool &pool, std::vector<Endpoint> addresses, HttpRequest request, TimePoint deadline);

} // namespace laburnumspar::tools
