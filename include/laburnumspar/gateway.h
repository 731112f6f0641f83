#pragma once

#include "laburnumspar/instancegroup.h"
#include "laburnumspar/quotaledger.h"
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

/// Names of the HTTP headers that callers, instances and upstreams use with forwarded requests.
struct ForwardingHeaders {
    std::string requestId;
    std::string deadline; ///< remaining time in milliseconds
    std::string signature; ///< set by an upstream on every answer that it generates
    std::string expectedIdentity; ///< an upstream with another identity refuses the request
    std::string load; ///< running requests, waiting requests and slots of the upstream, separated by commas
    std::string notRun; ///< present if the upstream has not run the request and will not run it
    std::string requestRate; ///< requests per second that the upstream takes from all instances together
    std::string leaving; ///< "1" in the answers of an upstream that takes no new requests
    std::string organisationKey{}; ///< key of the caller's organisation; not sent to upstreams
    std::string organisation{}; ///< name of the caller's organisation, set by the instance
};

/// Limits that the operators set for the whole fleet.
struct FleetBounds {
    Milliseconds graceTime{6000}; ///< from the stop signal until the process is killed
    Milliseconds addressLifetimeMax{5000}; ///< longest lifetime of an answer with instance addresses
    double retryShare = 0.2; ///< retries per request, over all instances
    Milliseconds retryWindow{10'000}; ///< sliding window in which retries are counted
    double retryReserve = 60; ///< further retries per window, over all instances
    QuotaTerms quota; ///< what requests of an organisation may exceed its quota
    Milliseconds heartbeat{1500}; ///< interval at which upstreams renew their store entries
};

/// Settings of one instance of the fleet.
struct GatewaySettings {
    std::string name;
    std::string ip;
    std::string zone;
    std::vector<std::string> zones; ///< all zones, in the same order on all instances
    Endpoint callers; ///< listens for requests of callers
    Endpoint readiness; ///< listens for readiness checks
    Endpoint addresses; ///< listens for queries for instance addresses
    Endpoint peers; ///< listens for other instances, over UDP and TCP
    std::optional<Endpoint> metrics; ///< listens for metrics and state dumps
    std::vector<Endpoint> seeds; ///< instances that are contacted to find the others
    Endpoint store; ///< the operators' store
    bool fleetStart = false; ///< the whole fleet is started for the first time
    std::uint16_t capacity = 1000; ///< CPU quota of this instance, in thousandths of a core
    std::size_t memoryBytes = 256 << 20; ///< memory that this instance may use
    FleetBounds bounds;
    std::string logLevel = "info";
};

/// Returns the effective settings as TOML.
std::string toToml(const GatewaySettings &settings);

/// Decoded value of a store item; `std::monostate` for an item that the gateway does not use.
using DecodedStoreItem = std::variant<std::monostate, RegisteredUpstream, std::shared_ptr<const RouteTable>>;

/// Translates between the platform's names and formats and those of the gateway. Contains no routing logic.
struct PlatformAdapter {
    ForwardingHeaders headers;

    /// Returns the request target that lists the items whose keys start with a prefix and sort after `afterKey`.
    std::function<std::string(const std::string &prefix, const std::string &afterKey)> listTarget;
    /// Returns the request target that waits up to `wait` for changes after a revision.
    std::function<std::string(const std::string &prefix, Revision revision, Milliseconds wait)> watchTarget;

    struct Page {
        std::vector<StoreItem> items;
        bool truncated = false; ///< further items follow the last one
        Revision revision; ///< revision of the store that the page reflects
    };
    /// Decodes the reply to a list request, which the store gave in this era. Throws DecodeError.
    std::function<Page(std::string_view body, std::uint64_t era)> decodePage;
    /// Decodes the reply to a watch request, which the store gave in this era. Throws DecodeError.
    std::function<Page(std::string_view body, std::uint64_t era)> decodeChanges;

    std::string eraHeader; ///< header in which the store states its era
    /// Decodes the era of the store's history, which rises each time when the store returns from an older copy of its
    /// content. Throws DecodeError.
    std::function<std::uint64_t(std::string_view headerValue)> decodeEra;

    std::string upstreamPrefix; ///< key prefix of upstream entries
    std::string routesPrefix; ///< key prefix of the routing configuration
    /// Throws DecodeError or SettingsError for an invalid value.
    std::function<DecodedStoreItem(const StoreItem &)> decodeItem;
    /// Returns the identity of the upstream whose entry has this key, or an empty string for other keys.
    std::function<std::string(const std::string &key)> upstreamIdFromKey;

    std::string readinessTarget; ///< request target of readiness checks
    /// Returns the availability zone of the caller that queries addresses, empty if it names none; no value if the
    /// target is not an address query.
    std::function<std::optional<std::string>(std::string_view target)> decodeAddressQuery;
    /// Returns the body of the answer to an address query.
    std::function<std::string(const std::vector<Endpoint> &addresses, Milliseconds lifetime)> encodeAddresses;
};

/// An instance of the fleet that forwards HTTP requests by route.
class Gateway
{
public:
    /// Binds all listeners. Throws TransportError if an address is in use.
    Gateway(GatewaySettings settings, PlatformAdapter adapter);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Serves requests until SIGTERM or SIGINT has stopped the instance. `onReload` is called on SIGHUP to read the
    /// settings again; it may throw SettingsError.
    void run(std::function<GatewaySettings()> onReload);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace laburnumspar
