#pragma once

#include "callcounter.h"
#include "platformstate.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/url_view.hpp>

#include <map>
#include <optional>
#include <string>

namespace laburnumspar::tools {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Socket = boost::asio::ip::tcp::socket;

/// Serves the endpoints of the platform (dialect lspar-v1, /v1/) and those by which tests control it (/control/).
/// Not thread-safe.
class PlatformService
{
public:
    explicit PlatformService(const boost::asio::any_io_executor &executor);

    /// Stores the values; only those that changed since the last call get a new version.
    void loadValues(const std::map<std::string, std::string> &values);
    /// Stores the instance list; it gets a new version only if it changed since the last call.
    void loadInstances(const boost::json::array &instances);

    /// Returns the response, or nothing if the connection is to be closed without one. `socket` is the connection of
    /// the request; a pending request ends when it is closed.
    boost::asio::awaitable<std::optional<Response>> handle(const Request &request, Socket &socket);

private:
    /// Simulated outage of all calls under /v1/.
    enum class Outage {
        None,
        Refuse, ///< responds with 503
        Hang, ///< does not respond
    };
    /// What ended a wait, in the order of the operations in wait().
    enum class WaitResult {
        Changed,
        TimedOut,
        Disconnected,
    };
    class PendingWatch;

    boost::asio::awaitable<std::optional<Response>> call(const std::string &kind, boost::urls::url_view url, Socket &);
    boost::asio::awaitable<std::optional<Response>> watch(boost::urls::url_view url, Socket &socket);
    boost::asio::awaitable<std::optional<Response>> hang(Socket &socket);
    boost::asio::awaitable<WaitResult> wait(std::optional<TimePoint> deadline, Socket &socket);
    Response read(boost::urls::url_view url) const;
    Response list(boost::urls::url_view url) const;
    Response control(const std::string &name, const Request &request, boost::urls::url_view url);
    Response put(const Request &request, boost::urls::url_view url);
    Response setOutage(boost::urls::url_view url);
    Response setStale(boost::urls::url_view url);
    Response restoreCopy();
    /// State from which calls are answered: the stale copy, if there is one, or the current state.
    const PlatformState &visibleState() const;

    PlatformState m_state;
    PlatformState m_copy; ///< state to return to
    std::optional<PlatformState> m_staleState; ///< copy that is served instead of `m_state` while stale
    Outage m_outage = Outage::None;
    CallCounter m_counter;
    std::map<std::string, std::string> m_loadedValues;
    boost::json::array m_loadedInstances;
    boost::asio::steady_timer m_changeSignal; ///< never expires; cancelled to wake all pending requests after a change
};

} // namespace laburnumspar::tools
