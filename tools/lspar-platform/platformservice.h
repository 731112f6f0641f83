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

/// The endpoints of the platform (dialect lspar-v1) and those that control it in tests. Runs on one thread.
class PlatformService
{
public:
    explicit PlatformService(const boost::asio::any_io_executor &executor);

    /// Take over what the files hold; only what changed since the last call gets a new version.
    void loadValues(const std::map<std::string, std::string> &values);
    void loadInstances(const boost::json::array &instances);

    /// Empty if the connection is to be closed without an answer. `socket` is watched for a disconnect.
    boost::asio::awaitable<std::optional<Response>> handle(const Request &request, Socket &socket);

private:
    enum class Away {
        No,
        Refuse, ///< answers 503
        Hang, ///< does not answer
    };
    enum class Wake {
        Changed,
        TimedOut,
        Disconnected,
    };
    class PendingWatch;

    boost::asio::awaitable<std::optional<Response>> call(const std::string &kind, boost::urls::url_view url, Socket &);
    boost::asio::awaitable<std::optional<Response>> watch(boost::urls::url_view url, Socket &socket);
    boost::asio::awaitable<std::optional<Response>> hang(Socket &socket);
    boost::asio::awaitable<Wake> wait(std::optional<TimePoint> until, Socket &socket);
    Response read(boost::urls::url_view url) const;
    Response list(boost::urls::url_view url) const;
    Response control(const std::string &name, const Request &request, boost::urls::url_view url);
    Response put(const Request &request, boost::urls::url_view url);
    Response setAway(boost::urls::url_view url);
    Response setStale(boost::urls::url_view url);
    /// State that the calls see.
    const PlatformState &served() const;

    PlatformState m_state;
    std::optional<PlatformState> m_frozen; ///< served instead while stale
    Away m_away = Away::No;
    CallCounter m_counter;
    std::map<std::string, std::string> m_loadedValues;
    boost::json::array m_loadedInstances;
    boost::asio::steady_timer m_changed; ///< never expires; cancelled to wake all that wait
};

} // namespace laburnumspar::tools
