#include "addressbook.h"

#include "exchange.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

/// Entry instances asked before a caller falls back to the addresses that it has.
constexpr std::size_t EntriesAsked = 3;
/// Time for one answer of an entry instance.
constexpr Milliseconds AskLimit{500};
constexpr unsigned StatusOk = 200;

} // namespace

AddressBook::AddressBook(asio::any_io_executor executor, Source source, std::uint64_t seed)
    : m_source(std::move(source))
    , m_random(seed)
    , m_validUntil(TimePoint::min())
    , m_refreshed(executor)
{
}

bool AddressBook::current(bool wantIdentifier) const
{
    return Clock::now() < m_validUntil && (!wantIdentifier || !m_identifiers.empty());
}

asio::awaitable<AddressBook::Lease> AddressBook::lease(Connections &connections, bool wantIdentifier, TimePoint limit)
{
    // One request asks anew; the others wait for it if they cannot go on without the answer.
    while (!current(wantIdentifier) && Clock::now() < limit) {
        if (!m_refreshing) {
            co_await refresh(connections, limit);
            break;
        }
        if (!m_addresses.empty() && (!wantIdentifier || !m_identifiers.empty())) {
            break;
        }
        m_refreshed.expires_at(TimePoint::max());
        co_await m_refreshed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    Lease lease{m_addresses, {}};
    if (!lease.addresses.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(m_next++ % lease.addresses.size());
        std::rotate(lease.addresses.begin(), lease.addresses.begin() + first, lease.addresses.end());
    }
    if (wantIdentifier && !m_identifiers.empty()) {
        auto identifier = std::move(m_identifiers.front());
        m_identifiers.pop_front();
        lease.identifier = std::move(identifier.text);
        if (identifier.owner) {
            std::erase(lease.addresses, *identifier.owner);
            lease.addresses.insert(lease.addresses.begin(), *identifier.owner);
        }
    }
    co_return lease;
}

asio::awaitable<void> AddressBook::refresh(Connections &connections, TimePoint limit)
{
    m_refreshing = true;
    std::shuffle(m_source.entries.begin(), m_source.entries.end(), m_random);
    const auto entries = m_source.entries;
    for (std::size_t n = 0; n < std::min(EntriesAsked, entries.size()); ++n) {
        const auto target = "/v1/addresses?service=" + m_source.service + "&zone=" + m_source.zone
            + "&ids=" + std::to_string(m_source.identifiers);
        HttpRequest request(http::verb::get, target, 11);
        const std::vector<Endpoint> asked{entries[n]};
        const auto until = std::min(limit, Clock::now() + AskLimit);
        const auto result = co_await exchange(connections, asked, std::move(request), until);
        if (result.answered && result.answer.status == StatusOk && take(result.answer.body)) {
            break;
        }
    }
    m_refreshing = false;
    m_refreshed.cancel();
}

void AddressBook::addIdentifier(Identifier identifier)
{
    m_identifiers.push_back(std::move(identifier));
}

void AddressBook::takeIdentifiers(const json::object &answer)
{
    m_identifiers.clear();
    const auto *identifiers = answer.if_contains("request_ids");
    const auto *owner = answer.if_contains("request_ids_owner");
    if (!identifiers || !identifiers->is_array()) {
        return;
    }
    const auto address = owner && owner->is_string() ? parseEndpoint(std::string(owner->get_string())) : std::nullopt;
    for (const auto &each : identifiers->get_array()) {
        if (each.is_string()) {
            addIdentifier({std::string(each.get_string()), address});
        }
    }
}

bool AddressBook::take(const std::string &body)
{
    boost::system::error_code ec;
    const auto value = json::parse(body, ec);
    const auto *object = ec ? nullptr : value.if_object();
    const auto *offered = object ? object->if_contains("addresses") : nullptr;
    const auto *lifetime = object ? object->if_contains("lifetime_ms") : nullptr;
    if (!offered || !offered->is_array() || !lifetime || !lifetime->is_number()) {
        return false;
    }
    std::vector<Endpoint> addresses;
    for (const auto &each : offered->get_array()) {
        const auto endpoint = each.is_string() ? parseEndpoint(std::string(each.get_string())) : std::nullopt;
        if (endpoint && addresses.size() < m_source.keep) {
            addresses.push_back(*endpoint);
        }
    }
    if (addresses.empty()) {
        return false;
    }
    m_addresses = std::move(addresses);
    m_validUntil = Clock::now() + Milliseconds(lifetime->to_number<std::int64_t>());
    takeIdentifiers(*object);
    return true;
}

} // namespace laburnumspar::tools
