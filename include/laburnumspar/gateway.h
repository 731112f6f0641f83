#pragma once

#include "laburnumspar/instancegroup.h"
#include "laburnumspar/routetable.h"
#include "laburnumspar/storemirror.h"
#include "laburnumspar/upstreamregistry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnumspar {

/// Names of the headers that callers, instances and upstreams use with forwarded requests.
struct ForwardingHeaders {
    std::string requestId;
    std::string deadline; ///< milliseconds left
    std::string signature; ///< of an upstream, on its own answers
    std::string expectedIdentity; ///< upstreams of another identity refuse the request
    std::string load; ///< running, waiting and slots of an upstream
    std::string notRun; ///< the upstream has not run the request and will not
};

/// Limits that the operators set for the whole fleet.
struct FleetBounds {
    Milliseconds graceTime{6000}; ///< from the request to stop until the process is killed
    Milliseconds addressLifetimeMax{5000};
    double retryShare = 0.2; ///< second attempts for each request, over all instances
    Milliseconds retryWindow{10'000};
    double retryReserve = 60; ///< second attempts in a window besides, over all instances
    Milliseconds heartbeat{1500}; ///< of upstreams in the store
};

/// What one instance of the fleet needs to run on an operators' platform.
struct GatewaySettings {
    std::string name;
    std::string ip;
    std::string zone;
    std::vector<std::string> zones; ///< all of them, in an order that all instances share
    Endpoint callers;
    Endpoint readiness;
    Endpoint addresses;
    Endpoint peers;
    std::optional<Endpoint> metrics;
    std::vector<Endpoint> seeds; ///< peers to ask first
    Endpoint store;
    bool fleetStart = false; ///< the whole fleet starts for the first time
    std::uint16_t capacity = 1000; ///< processor time that it may use, in thousandths of a core
    FleetBounds bounds;
    std::string logLevel = "info";
};

/// The effective settings, for people to read.
std::string toToml(const GatewaySettings &settings);

/// What an item of the store means.
using DecodedStoreItem = std::variant<std::monostate, RegisteredUpstream, std::shared_ptr<const RouteTable>>;

/// Names, formats and calls of the platform that an instance runs on. Nothing in it decides.
struct PlatformAdapter {
    ForwardingHeaders headers;

    /// Target of a read of all items below a prefix, after a key.
    std::function<std::string(const std::string &prefix, const std::string &afterKey)> listTarget;
    /// Target of a read that waits for changes after a revision.
    std::function<std::string(const std::string &prefix, std::uint64_t revision, Milliseconds wait)> watchTarget;

    struct Page {
        std::vector<StoreItem> items;
        bool truncated = false;
        std::uint64_t revision = 0;
    };
    /// Both throw DecodeError.
    std::function<Page(std::string_view body)> decodePage;
    std::function<Page(std::string_view body)> decodeChanges;

    std::string upstreamPrefix;
    std::string routesPrefix;
    /// Throws DecodeError or SettingsError for a value that names nothing to use.
    std::function<DecodedStoreItem(const StoreItem &)> decodeItem;
    /// Identity of the upstream whose entry has this key; empty for other keys.
    std::function<std::string(const std::string &key)> upstreamIdFromKey;

    std::string readinessTarget;
    /// Availability zone of the caller that asks for addresses; empty optional if the target is another.
    std::function<std::optional<std::string>(std::string_view target)> decodeAddressQuery;
    std::function<std::string(const std::vector<Endpoint> &addresses, Milliseconds lifetime)> encodeAddresses;
};

/// An instance of the fleet that forwards HTTP requests by route.
class Gateway
{
public:
    /// Binds all listeners; throws TransportError if an address is taken.
    Gateway(GatewaySettings settings, PlatformAdapter adapter);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Serves until it has been stopped. `onReload` reads the settings again; it may throw SettingsError.
    void run(std::function<GatewaySettings()> onReload);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace laburnumspar
