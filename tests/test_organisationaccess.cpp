#include "callerserverfixture.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

/// Routes of one host, which only callers of the organisations may use.
std::shared_ptr<const RouteTable> makeOrganisationTable(std::uint64_t version,
                                                        const std::vector<std::pair<Organisation, std::string>> &keys)
{
    Route route;
    route.name = "all";
    route.host = "a.example";
    route.prefix = "/";
    route.targets = {{"orders", 1}};
    route.idempotent = true;
    Route open = route;
    open.name = "open";
    open.prefix = "/open/";
    open.isPublic = true;
    OrganisationTable organisations;
    for (const auto &[organisation, key] : keys) {
        organisations.add(organisation, {key});
    }
    RouteTable::Builder builder(version);
    builder.service("orders", {"/healthz", 0});
    builder.route(route);
    builder.route(open);
    builder.organisations(std::move(organisations));
    return builder.build();
}

Organisation makeOrganisation(const std::string &name, Quota quota = {})
{
    return {name, std::nullopt, quota};
}

/// Sends raw requests and keeps what the upstream has received.
struct OrganisationFixture : CallerServerFixture {
    OrganisationFixture()
    {
        firstAnswer = [this](const HttpRequest &request) {
            received.push_back(request);
            return signedAnswer(request, http::status::ok);
        };
        addUpstream("i-1", firstAddress);
    }

    /// Sends a request with these header lines and returns the status line and headers of the answer.
    std::string send(const std::string &lines, const std::string &target = "/pay")
    {
        RawCaller caller(context, callerAddress);
        caller.send("GET " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\nX-Left: 3000\r\n" + lines + "\r\n");
        return caller.receiveAnswers(1);
    }

    std::vector<HttpRequest> received;
};

unsigned statusOf(const std::string &answer)
{
    return answer.size() < 12 ? 0 : unsigned(std::stoul(answer.substr(9, 3)));
}

} // namespace

// Guards against requests without a valid key that run, whatever the form of the header.
BOOST_FIXTURE_TEST_CASE(requestsWithoutAKnownKeyAreRefused, OrganisationFixture)
{
    serviceRegistry.applyRoutes(makeOrganisationTable(1, {{makeOrganisation("acme"), "k1"}}));
    const std::string tooLong(300, 'k');
    for (const auto &lines : {std::string(),
                              std::string("X-Key: k2\r\n"),
                              std::string("X-Key:\r\n"),
                              std::string("X-Key: k1\r\nx-key: k1\r\n"),
                              std::string("X-Key: K1\r\n"),
                              "X-Key: " + tooLong + "\r\n"}) {
        BOOST_TEST(statusOf(send(lines)) == 401U);
    }
    BOOST_TEST(received.empty());
    BOOST_TEST(statusOf(send("x-KEY:   k1  \r\n")) == 200U);
}

// Guards against keys that reach an upstream, and against callers that name an organisation themselves.
BOOST_FIXTURE_TEST_CASE(upstreamsReceiveTheNameInPlaceOfTheKey, OrganisationFixture)
{
    serviceRegistry.applyRoutes(makeOrganisationTable(1, {{makeOrganisation("acme"), "k1"}}));
    BOOST_TEST(statusOf(send("X-Key: k1\r\nx-organisation: other\r\nX-Else: y\r\n")) == 200U);
    BOOST_TEST(statusOf(send("X-Organisation: other\r\nX-Key: unknown\r\n", "/open/x")) == 200U);
    BOOST_REQUIRE(received.size() == 2U);
    for (const auto &it : received) {
        BOOST_TEST(it.count("X-Key") == 0U);
    }
    BOOST_TEST(received[0]["X-Organisation"] == "acme");
    BOOST_TEST(received[0].count("X-Organisation") == 1U);
    BOOST_TEST(received[0]["X-Else"] == "y");
    BOOST_TEST(received[1].count("X-Organisation") == 0U);
}

// Guards against deployments without organisations whose requests lose headers.
BOOST_FIXTURE_TEST_CASE(withoutOrganisationsAllHeadersPass, OrganisationFixture)
{
    serviceRegistry.applyRoutes(makeTable(true));
    BOOST_TEST(statusOf(send("X-Key: k1\r\nX-Organisation: other\r\n")) == 200U);
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST(received[0]["X-Key"] == "k1");
    BOOST_TEST(received[0]["X-Organisation"] == "other");
}

// Guards against a request that runs under a withdrawn key, or under the old owner of a key, because it waited in a
// queue while a newer version arrived.
BOOST_FIXTURE_TEST_CASE(aQueuedRequestFollowsTheNewestKeys, OrganisationFixture)
{
    serviceRegistry.applyRoutes(
        makeOrganisationTable(1, {{makeOrganisation("acme"), "k1"}, {makeOrganisation("zeta"), "k2"}}));
    firstDelay = Milliseconds(300);
    std::vector<std::unique_ptr<RawCaller>> callersOfKeys;
    const auto sendKey = [&](const std::string &key) {
        callersOfKeys.push_back(std::make_unique<RawCaller>(context, callerAddress));
        callersOfKeys.back()->send("GET /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r"
                                   + std::to_string(callersOfKeys.size()) + "\r\nX-Left: 3000\r\nX-Key: " + key
                                   + "\r\n\r\n");
    };
    // The upstream has four slots.
    for (int n = 0; n < 4; ++n) {
        sendKey("k1");
    }
    context.restart();
    context.run_for(Milliseconds(50));
    sendKey("k1");
    sendKey("k2");
    context.restart();
    context.run_for(Milliseconds(50));
    serviceRegistry.applyRoutes(
        makeOrganisationTable(2, {{makeOrganisation("zeta"), "k3"}, {makeOrganisation("new"), "k2"}}));
    BOOST_TEST(statusOf(callersOfKeys[4]->receiveAnswers(1)) == 401U);
    BOOST_TEST(statusOf(callersOfKeys[5]->receiveAnswers(1)) == 200U);
    BOOST_REQUIRE(received.size() == 5U);
    BOOST_TEST(received[4]["X-Organisation"] == "new");
}

// Guards against a key that is sent to an upstream because its request was queued before the first organisations were
// known, and against 401 while no configuration is known.
BOOST_FIXTURE_TEST_CASE(organisationsApplyToRequestsThatWait, OrganisationFixture)
{
    BOOST_TEST(statusOf(send("X-Key: k1\r\n")) == 503U);
    serviceRegistry.applyRoutes(makeTable(true));
    firstDelay = Milliseconds(300);
    std::vector<std::unique_ptr<RawCaller>> requests;
    for (int n = 0; n < 5; ++n) {
        requests.push_back(std::make_unique<RawCaller>(context, callerAddress));
        requests.back()->send("GET /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r" + std::to_string(n)
                              + "\r\nX-Left: 3000\r\nX-Key: k1\r\n\r\n");
    }
    context.restart();
    context.run_for(Milliseconds(50));
    serviceRegistry.applyRoutes(makeOrganisationTable(2, {{makeOrganisation("acme"), "k1"}}));
    BOOST_TEST(statusOf(requests.back()->receiveAnswers(1)) == 200U);
    BOOST_REQUIRE(received.size() == 5U);
    BOOST_TEST(received.back().count("X-Key") == 0U);
    BOOST_TEST(received.back()["X-Organisation"] == "acme");
}

// Guards against requests beyond the quota that run, and against refusals without the time of the next token.
BOOST_FIXTURE_TEST_CASE(requestsBeyondTheQuotaAreRefusedAtOnce, OrganisationFixture)
{
    serviceRegistry.applyRoutes(makeOrganisationTable(1, {{makeOrganisation("acme", {2, 2}), "k1"}}));
    unsigned refused = 0;
    std::string refusal;
    for (int n = 0; n < 4; ++n) {
        const auto answer = send("X-Key: k1\r\n");
        if (statusOf(answer) == 429U) {
            ++refused;
            refusal = answer;
        }
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(received.size() == 4U - refused);
    BOOST_TEST(refusal.find("Retry-After: ") != std::string::npos);
}
