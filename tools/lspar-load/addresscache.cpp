#include "addresscache.h"

#include "exchange.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

/// Entry instances queried per refresh. If none answers, the caller continues with the addresses that it has.
constexpr std::size_t MaxRefreshAttempts = 3;
/// Timeout of the query of one entry instance.
constexpr Milliseconds EntryTimeout{500};
constexpr unsigned StatusOk = 200;

} // namespace

AddressCache::AddressCache(asio::any_io_executor executor, Config config, std::uint64_t seed)
    : m_config(std::move(config))
    , m_random(seed)
    , m_validUntil(TimePoint::min())
    , m_refreshDone(executor)
{
}

bool AddressCache::isFresh(bool needsRequestId) const
{
    return Clock::now() < m_validUntil && (!needsRequestId || !m_requestIds.empty());
}

asio::awaitable<AddressCache::Selection>
AddressCache::select(ConnectionPool &pool, bool needsRequestId, TimePoint deadline)
{
    // Only one request refreshes the cache. The others wait for it only if they cannot proceed with the cached data.
    while (!isFresh(needsRequestId) && Clock::now() < deadline) {
        if (!m_refreshing) {
            co_await refresh(pool, deadline);
            break;
        }
        if (!m_addresses.empty() && (!needsRequestId || !m_requestIds.empty())) {
            break;
        }
        m_refreshDone.expires_at(TimePoint::max());
        co_await m_refreshDone.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    Selection selection{m_addresses, {}};
    if (!selection.addresses.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(m_nextFirst++ % selection.addresses.size());
        std::rotate(selection.addresses.begin(), selection.addresses.begin() + first, selection.addresses.end());
    }
    if (needsRequestId && !m_requestIds.empty()) {
        auto ownedId = std::move(m_requestIds.front());
        m_requestIds.pop_front();
        selection.requestId = std::move(ownedId.requestId);
        if (ownedId.owner) {
            std::erase(selection.addresses, *ownedId.owner);
            selection.addresses.insert(selection.addresses.begin(), *ownedId.owner);
        }
    }
    co_return selection;
}

asio::awaitable<void> AddressCache::refresh(ConnectionPool &pool, TimePoint deadline)
{
    m_refreshing = true;
    std::shuffle(m_config.entries.begin(), m_config.entries.end(), m_random);
    const auto entries = m_config.entries;
    for (std::size_t n = 0; n < std::min(MaxRefreshAttempts, entries.size()); ++n) {
        const auto target = "/v1/addresses?service=" + m_config.service + "&zone=" + m_config.zone
            + "&ids=" + std::to_string(m_config.requestIdCount);
        HttpRequest request(http::verb::get, target, 11);
        const std::vector<Endpoint> address{entries[n]};
        const auto attemptDeadline = std::min(deadline, Clock::now() + EntryTimeout);
        const auto result = co_await exchange(pool, address, std::move(request), attemptDeadline);
        if (result.answered && result.answer.status == StatusOk && applyAnswer(result.answer.body)) {
            break;
        }
    }
    m_refreshing = false;
    m_refreshDone.cancel();
}

void AddressCache::addRequestId(OwnedRequestId ownedId)
{
    m_requestIds.push_back(std::move(ownedId));
}

void AddressCache::applyRequestIds(const json::object &answer)
{
    m_requestIds.clear();
    const auto *requestIds = answer.if_contains("request_ids");
    const auto *owner = answer.if_contains("request_ids_owner");
    if (!requestIds || !requestIds->is_array()) {
        return;
    }
    const auto ownerAddress
        = owner && owner->is_string() ? parseEndpoint(std::string(owner->get_string())) : std::nullopt;
    for (const auto &each : requestIds->get_array()) {
        if (each.is_string()) {
            addRequestId({std::string(each.get_string()), ownerAddress});
        }
    }
}

bool AddressCache::applyAnswer(const std::string &body)
{
    boost::system::error_code ec;
    const auto value = json::parse(body, ec);
    const auto *object = ec ? nullptr : value.if_object();
    const auto *addressList = object ? object->if_contains("addresses") : nullptr;
    const auto *lifetime = object ? object->if_contains("lifetime_ms") : nullptr;
    if (!addressList || !addressList->is_array() || !lifetime || !lifetime->is_number()) {
        return false;
    }
    std::vector<Endpoint> addresses;
    for (const auto &each : addressList->get_array()) {
        const auto endpoint = each.is_string() ? parseEndpoint(std::string(each.get_string())) : std::nullopt;
        if (endpoint && addresses.size() < m_config.maxAddresses) {
            addresses.push_back(*endpoint);
        }
    }
    if (addresses.empty()) {
        return false;
    }
    m_addresses = std::move(addresses);
    m_validUntil = Clock::now() + Milliseconds(lifetime->to_number<std::int64_t>());
    applyRequestIds(*object);
    return true;
}

} // namespace laburnumspar::tools
