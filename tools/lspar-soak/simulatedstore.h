#pragma once

#include "net/httpserver.h"

#include <map>
#include <string>
#include <vector>

namespace laburnumspar::soak {

/// The platform's store as far as instances read it.
class StoreStandIn
{
public:
    StoreStandIn(boost::asio::io_context &context, const Endpoint &endpoint);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Readers that ask for changes after an earlier revision are told that the history is gone.
    void forgetHistory();

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    detail::awaitable<detail::HttpResponse> answer(detail::HttpRequest request);
    std::string list(const std::string &prefix) const;
    std::string changes(const std::string &prefix, std::uint64_t after) const;
    bool hasChanges(const std::string &prefix, std::uint64_t after) const;

    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 0;
    detail::HttpServer m_server;
};

} // namespace laburnumspar::soak
