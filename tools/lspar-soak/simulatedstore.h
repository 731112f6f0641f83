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
    /// Keeps a copy of the content for restoreCopy().
    void keepCopy();
    /// Returns to the kept copy: what was written since is gone, its revisions are given out again, and the era rises
    /// by one.
    void restoreCopy();
    std::uint64_t revision() const
    {
        return m_content.revision;
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createdRevision = 0;
        bool removed = false;
    };
    struct Content {
        std::map<std::string, Item> items;
        std::uint64_t revision = 1;
        std::uint64_t historyStart = 0; ///< oldest revision after which changes can be watched
    };

    detail::awaitable<detail::HttpResponse> handle(detail::HttpRequest request);
    detail::awaitable<detail::HttpResponse> answer(const std::string &target);
    std::string list(const std::string &prefix) const;
    std::string changes(const std::string &prefix, std::uint64_t after) const;
    bool hasChanges(const std::string &prefix, std::uint64_t after) const;

    Content m_content;
    Content m_copy;
    std::uint64_t m_era = 1;
    detail::HttpServer m_server;
};

} // namespace laburnumspar::soak
