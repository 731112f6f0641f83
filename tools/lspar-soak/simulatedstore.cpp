#include "simulatedstore.h"

#include "platform/names.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace laburnumspar::soak {

namespace json = boost::json;
namespace names = platform::names;

namespace {

/// Interval at which a watch checks for changes.
constexpr Milliseconds WatchPollInterval{20};

std::string encodeBase64(const std::string &text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string encoded(base64::encoded_size(text.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto position = target.find(name + '=');
    if (position == std::string::npos) {
        return {};
    }
    const auto begin = position + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::uint64_t numberParameter(const std::string &target, const std::string &name)
{
    const auto text = parameter(target, name);
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

SimulatedStore::SimulatedStore(boost::asio::io_context &context, const Endpoint &endpoint)
    : m_server(context, endpoint, {}, [this](detail::HttpRequest request, detail::CancellationPtr) {
        return handle(std::move(request));
    })
{
    m_server.start();
}

void SimulatedStore::put(const std::string &key, const std::string &value)
{
    auto &item = m_content.items[key];
    const bool exists = item.revision > 0 && !item.removed;
    item.value = value;
    item.revision = ++m_content.revision;
    item.createdRevision = exists ? item.createdRevision : item.revision;
    item.removed = false;
}

void SimulatedStore::remove(const std::string &key)
{
    const auto revision = ++m_content.revision;
    m_content.items[key] = {{}, revision, revision, true};
}

void SimulatedStore::discardHistory()
{
    m_content.historyStart = m_content.revision;
}

void SimulatedStore::keepCopy()
{
    m_copy = m_content;
}

void SimulatedStore::restoreCopy()
{
    m_content = m_copy;
    ++m_era;
}

std::string SimulatedStore::list(const std::string &prefix) const
{
    json::array items;
    for (const auto &[key, item] : m_content.items) {
        if (!item.removed && key.starts_with(prefix)) {
            items.push_back({{"key", key},
                             {"value", encodeBase64(item.value)},
                             {"rev", item.revision},
                             {"created_rev", item.createdRevision}});
        }
    }
    return json::serialize(
        json::object{{"items", std::move(items)}, {"truncated", false}, {"as_of", m_content.revision}});
}

bool SimulatedStore::hasChanges(const std::string &prefix, std::uint64_t after) const
{
    return std::any_of(m_content.items.begin(), m_content.items.end(), [&](const auto &it) {
        return it.second.revision > after && it.first.starts_with(prefix);
    });
}

std::string SimulatedStore::changes(const std::string &prefix, std::uint64_t after) const
{
    json::array events;
    for (const auto &[key, item] : m_content.items) {
        if (item.revision <= after || !key.starts_with(prefix)) {
            continue;
        }
        json::object event{{"key", key}, {"rev", item.revision}, {"created_rev", item.createdRevision}};
        if (item.removed) {
            event["deleted"] = true;
        } else {
            event["value"] = encodeBase64(item.value);
        }
        events.push_back(std::move(event));
    }
    return json::serialize(json::object{{"events", std::move(events)}, {"as_of", m_content.revision}});
}

detail::awaitable<detail::HttpResponse> SimulatedStore::handle(detail::HttpRequest request)
{
    const std::string target(request.target());
    auto response = co_await answer(target);
    response.set(names::StoreEra, std::to_string(m_era));
    co_return response;
}

detail::awaitable<detail::HttpResponse> SimulatedStore::answer(const std::string &target)
{
    using detail::http::status;
    const auto prefix = parameter(target, "prefix");
    if (target.starts_with(names::RangeTarget)) {
        co_return detail::makeResponse(status::ok, "application/json", list(prefix));
    }
    if (!target.starts_with(names::WatchTarget)) {
        co_return detail::makeResponse(status::not_found, "text/plain", "");
    }
    const auto after = numberParameter(target, "after");
    if (after < m_content.historyStart || after > m_content.revision) {
        co_return detail::makeResponse(status::gone, "text/plain", "");
    }
    const auto until = Clock::now() + Milliseconds(numberParameter(target, "wait_ms"));
    const auto era = m_era;
    while (era == m_era && !hasChanges(prefix, after) && Clock::now() < until) {
        co_await detail::sleepFor(WatchPollInterval);
    }
    if (era != m_era) {
        co_return detail::makeResponse(status::gone, "text/plain", "");
    }
    co_return detail::makeResponse(status::ok, "application/json", changes(prefix, after));
}

} // namespace laburnumspar::soak
