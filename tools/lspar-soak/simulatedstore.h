#pragma once

#include "net/httpserver.h"

#include <map>
#include <string>
#include <vector>

namespace laburnumspar::soak {

/// Simulated store of the platform. It serves the range and watch requests of instances.
class SimulatedStore
{
public:
    SimulatedStore(boost::asio::io_context &context, const Endpoint &endpoint);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Discards the history: watches after an earlier revision are answered with 410 (Gone).
    void discardHistory();

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    detail::awaitable<detail::HttpResponse> handle(detail::HttpRequest request);
    std::string list(const std::string &prefix) const;
    std::string changes(const std::string &prefix, std::uint64_t after) const;
    bool hasChanges(const std::string &prefix, std::uint64_t after) const;

    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyStart = 0; ///< oldest revision after which changes can be watched
    detail::HttpServer m_server;
};

} // namespace laburnumspar::soak
