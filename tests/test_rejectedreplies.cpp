#include "gateway/changesreply.h"
#include "gateway/storefollower.h"
#include "loopback.h"
#include "net/httpserver.h"
#include "platform/adapter.h"
#include "rawupstream.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t StorePort = 27951;
constexpr std::uint16_t PeerPort = 27952;
constexpr std::uint16_t SlowStorePort = 27953;
const std::string selfIp = loopbackAddress(0);
const std::string peerIp = loopbackAddress(1);

const std::string serverText = R"({"service":"s1","addr":"127.0.0.9:80","zone":"palermo","version":"v1","slots":6,
    "state":"ready","warmup_left_s":0,"seq":1,"born":1000})";
const std::string configText
    = R"({"version":"r7","routes":{"columns":["name","host","prefix","kind","timeout_s","slo_s",
    "priority","service","attempts"],"rows":[["look","a.example","/","safe",4,1,2,"s1",2]]},"services":{"columns":["name",
    "health_path","max_conns"],"rows":[["s1","/healthz",360]]}})";

/// A reply that the same request gets each time.
struct BadReply {
    const char *name;
    http::status status;
    std::string body;
};

std::ostream &operator<<(std::ostream &out, const BadReply &reply)
{
    return out << reply.name;
}

const std::vector<BadReply> badReplies{
    {"too large", http::status::ok, std::string(17 << 20, ' ')},
    {"no JSON", http::status::ok, "<html>"},
    {"another form", http::status::ok, R"({"as_of":"9"})"},
    {"nested too deep", http::status::ok, R"({"as_of":9,"items":[],"events":[],"more":)" + std::string(100, '[')},
    {"bad request", http::status::bad_request, ""},
    {"not found", http::status::not_found, ""},
    {"no content", http::status::no_content, ""},
    {"internal error", http::status::internal_server_error, ""},
};

/// One for each kind of failure.
const std::vector<BadReply> differentReplies{badReplies[0], badReplies[2], badReplies[5]};

std::string makeItem(const std::string &key, const std::string &value, std::uint64_t revision)
{
    namespace base64 = beast::detail::base64;
    std::string encoded(base64::encoded_size(value.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), value.data(), value.size()));
    return R"({"key":")" + key + R"(","rev":)" + std::to_string(revision) + R"(,"value":")" + encoded + "\"}";
}

InstanceStatus makeStatus(const std::string &ip)
{
    InstanceStatus status;
    status.ip = ip;
    status.zone = "palermo";
    status.incarnation = 1;
    status.capacity = 200;
    return status;
}

/// An active instance that follows a store, and another one, both of which may reply with something unusable.
struct Fixture {
    Fixture()
        : store(context,
                {selfIp, StorePort},
                {},
                [this](HttpRequest request, CancellationPtr) { return answerStore(std::move(request)); })
        , peer(context, {peerIp, PeerPort}, {}, [this](HttpRequest, CancellationPtr) { return answerPeer(); })
        , registry("palermo", {}, 1)
        , group(makeStatus(selfIp), {}, Clock::now())
        , follower(context, makeSettings(), adapter, group, registry, {[] {}})
    {
        store.start();
        peer.start();
    }

    const GatewaySettings &makeSettings()
    {
        settings.ip = selfIp;
        settings.zone = "palermo";
        settings.zones = {"palermo"};
        settings.store = {selfIp, StorePort};
        settings.peers = {selfIp, PeerPort};
        return settings;
    }

    static HttpResponse respond(const BadReply &reply)
    {
        return makeResponse(reply.status, "application/json", reply.body);
    }

    awaitable<HttpResponse> answerStore(HttpRequest request)
    {
        const std::string target(request.target());
        const bool list = target.starts_with("/-/kv-range");
        const bool upstreams = target.find("servers") != std::string::npos;
        if (!list) {
            ++watches;
            if (badChanges != nullptr) {
                co_return respond(*badChanges);
            }
            co_await sleepFor(50ms);
            const auto events = target.find("after=" + std::to_string(revision)) == std::string::npos
                ? makeItem("servers/" + upstream, serverText, revision)
                : std::string();
            co_return respond(
                {"", http::status::ok, R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(revision) + '}'});
        }
        upstreamLists += upstreams ? 1 : 0;
        if (upstreams && badList != nullptr) {
            co_return respond(*badList);
        }
        const auto item = upstreams ? makeItem("servers/" + upstream, serverText, revision)
                                    : makeItem("op/config", configText, revision);
        co_return respond(
            {"", http::status::ok, R"({"items":[)" + item + R"(],"as_of":)" + std::to_string(revision) + '}'});
    }

    awaitable<HttpResponse> answerPeer()
    {
        ++pulls;
        co_return respond(*badPull);
    }

    /// Runs until the condition holds. Returns false if it does not within the time.
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit = 10s)
    {
        const auto until = Clock::now() + limit;
        while (!condition() && Clock::now() < until) {
            context.restart();
            context.run_for(5ms);
        }
        return condition();
    }

    void start()
    {
        runUntil([this] { return group.updateRole(Clock::now()) == InstanceRole::Active; });
        follower.start();
    }

    bool knows(const std::string &id)
    {
        return registry.upstreams().find(id) != nullptr;
    }

    asio::io_context context{1};
    const BadReply *badChanges = nullptr;
    const BadReply *badList = nullptr;
    const BadReply *badPull = nullptr;
    std::string upstream = "i-1";
    std::uint64_t revision = 10;
    unsigned watches = 0;
    unsigned upstreamLists = 0;
    unsigned pulls = 0;
    HttpServer store;
    HttpServer peer;
    GatewaySettings settings;
    PlatformAdapter adapter = platform::makeAdapter();
    ServiceRegistry registry;
    InstanceGroup group;
    StoreFollower follower;
};

} // namespace

// Guards against asking for the same changes again and again although the reply can never be used: instances answered
// 404 for new routes until the store had dropped its history (review case 4).
BOOST_DATA_TEST_CASE_F(Fixture, rejectedChangesLeadToAList, badReplies, reply)
{
    start();
    BOOST_TEST(runUntil([this] { return knows("i-1") && watches > 3; }));
    upstream = "i-2";
    revision = 20;
    badChanges = &reply;
    const auto begin = Clock::now();
    BOOST_TEST(runUntil([this] { return knows("i-2") && !knows("i-1"); }));
    // The list follows at once; the time until the next read is all that passes.
    BOOST_TEST((Clock::now() - begin < 1200ms));
    BOOST_TEST((follower.mirror().newestRevision() == Revision(0, 20)));
    // The store is not taken for unreachable, and lists are not repeated without end.
    const auto lists = upstreamLists;
    runUntil([] { return false; }, 3s);
    BOOST_TEST(upstreamLists - lists <= 4U);
    BOOST_TEST(upstreamLists - lists >= 2U);
    BOOST_TEST(follower.rejectedReplies() >= 2U);
    BOOST_TEST((follower.storeAge(Clock::now()) < 1500ms));
}

// Guards against a page of upstreams that hides the routes, and against lists that are repeated at the rate of reads
// although the same page comes back each time.
BOOST_DATA_TEST_CASE_F(Fixture, rejectedPagesHideNoOtherItems, differentReplies, reply)
{
    badList = &reply;
    start();
    BOOST_TEST(runUntil([this] { return registry.routes() != nullptr; }));
    BOOST_TEST(!knows("i-1"));
    const auto lists = upstreamLists;
    runUntil([] { return false; }, 4s);
    BOOST_TEST(upstreamLists - lists <= 4U);
    BOOST_TEST(upstreamLists - lists >= 1U);
    badList = nullptr;
    BOOST_TEST(runUntil([this] { return knows("i-1"); }, 3s));
}

// Guards against changes that take longer to arrive than the read may last, each time.
BOOST_FIXTURE_TEST_CASE(changesThatArriveTooSlowlyLeadToAList, Fixture)
{
    RawUpstream slowStore(context, {selfIp, SlowStorePort}, "X-Id");
    slowStore.script = [this](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
        // The upstreams, the configuration, the changes, and again the upstreams.
        const auto n = self.requests;
        const bool changes = n == 3;
        const auto item = n == 1 ? makeItem("servers/i-1", serverText, 10) : makeItem("servers/i-2", serverText, 20);
        const auto body
            = R"({"items":[)" + (n % 3 == 1 ? item : std::string()) + R"(],"as_of":)" + (n < 3 ? "10" : "20") + '}';
        const auto text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await self.send(socket, text.substr(0, changes ? text.size() - 1 : text.size()));
    };
    settings.store.port = SlowStorePort;
    StoreFollower slowFollower(context, settings, adapter, group, registry, {[] {}});
    runUntil([this] { return group.updateRole(Clock::now()) == InstanceRole::Active; });
    slowFollower.start();
    BOOST_TEST(runUntil([this] { return knows("i-1"); }));
    BOOST_TEST(runUntil([this] { return knows("i-2") && !knows("i-1"); }, 5s));
    BOOST_TEST(slowFollower.rejectedReplies() == 1U);
    slowStore.close();
    runUntil([] { return false; }, 50ms);
}

// Guards against items that are removed because the page that should contain them was not usable.
BOOST_FIXTURE_TEST_CASE(rejectedPagesRemoveNothing, Fixture)
{
    start();
    BOOST_TEST(runUntil([this] { return knows("i-1") && watches > 3; }));
    badChanges = &badReplies[1];
    badList = &badReplies[1];
    revision = 30;
    runUntil([] { return false; }, 2500ms);
    BOOST_TEST(knows("i-1"));
    BOOST_TEST((follower.mirror().newestRevision() == Revision(0, 10)));
}

// Guards against asking another instance again and again for changes that it cannot provide, for example because it
// runs another version of the program. The instance reads the store itself.
BOOST_DATA_TEST_CASE_F(Fixture, rejectedPullsLeadToTheStore, differentReplies, reply)
{
    badPull = &reply;
    // Another instance with a higher capacity is the active one, so this one does not read the store by its role.
    auto other = makeStatus(peerIp);
    other.capacity = 900;
    other.role = InstanceRole::Active;
    other.storeRevision = Revision(0, 10);
    const auto sendStatus = [&] {
        other.storeAgeMs = 10;
        other.fleetStoreAgeMs = 10;
        group.receiveStatus(other, Clock::now());
        follower.receivePeerStatus(other, Clock::now());
        return false;
    };
    sendStatus();
    group.updateRole(Clock::now());
    follower.start();
    BOOST_TEST(runUntil([&] { return sendStatus() || (knows("i-1") && registry.routes() != nullptr); }));
    // Later changes arrive, too.
    upstream = "i-2";
    revision = 20;
    other.storeRevision = Revision(0, 20);
    const auto pullsBefore = pulls;
    runUntil(sendStatus, 3s);
    BOOST_TEST(pulls - pullsBefore <= 3U);
    BOOST_TEST(follower.rejectedPulls() == pulls);
    BOOST_TEST(knows("i-2"));
    BOOST_TEST((follower.mirror().newestRevision() == Revision(0, 20)));
}
