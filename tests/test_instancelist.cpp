#include "laburnumspar/instancelist.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/settings.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace laburnumspar;

namespace {

std::string upstreamDocument(const std::string &entry)
{
    return R"({"upstreams":[)" + entry + "]}";
}

} // namespace

// Guards against reporting a change when only the order differs, and against fields that are lost.
BOOST_AUTO_TEST_CASE(canonicalTextParsesToTheSameEntries)
{
    std::vector<UpstreamEntry> upstreams{{{"10.0.0.2", 80}, "orders", "a", UpstreamPhase::Draining},
                                         {{"10.0.0.1", 81}, "orders", "b", UpstreamPhase::Starting},
                                         {{"fd00::1", 80}, "orders", "b", UpstreamPhase::Serving}};
    const auto text = formatUpstreamList(upstreams);
    std::reverse(upstreams.begin(), upstreams.end());
    BOOST_TEST(formatUpstreamList(upstreams) == text);
    const auto read = parseUpstreamList(text, "orders");
    BOOST_TEST(formatUpstreamList(read) == text);
    BOOST_TEST(std::is_permutation(read.begin(), read.end(), upstreams.begin(), upstreams.end()));
    const std::vector<InstanceEntry> instances{{{"10.0.0.1", 7401}, "a", false}, {{"10.0.0.1", 7402}, "b", true}};
    BOOST_TEST((parseInstanceList(formatInstanceList(instances)) == instances));
    BOOST_TEST(parseInstanceList(R"({"instances":[]})").empty());
}

// Guards against rejecting lists to which the platform has added members.
BOOST_AUTO_TEST_CASE(unknownMembersAreIgnored)
{
    const auto text = upstreamDocument(R"({"address":"10.0.0.1:80","zone":"a","state":"live","rack":7})");
    BOOST_TEST(parseUpstreamList(text, "orders").size() == 1U);
}

// Guards against applying part of an invalid list: any error rejects the whole list.
BOOST_AUTO_TEST_CASE(invalidListsAreRejected)
{
    const std::string good = R"({"address":"10.0.0.1:80","zone":"a","state":"live"})";
    for (const auto &text : {std::string(),
                             std::string("[]"),
                             std::string("{}"),
                             std::string(R"({"upstreams":{}})"),
                             upstreamDocument("7"),
                             upstreamDocument(good + "," + good),
                             upstreamDocument(R"({"address":"host:80","zone":"a","state":"live"})"),
                             upstreamDocument(R"({"address":"10.0.0.1:0","zone":"a","state":"live"})"),
                             upstreamDocument(R"({"address":"10.0.0.1:80","zone":"","state":"live"})"),
                             upstreamDocument(R"({"address":"10.0.0.1:80","zone":"a","state":"dead"})"),
                             upstreamDocument(R"({"address":"10.0.0.1:80","zone":"a"})"),
                             upstreamDocument(good) + std::string(MaxValueBytes, ' ')}) {
        BOOST_TEST_INFO(text.substr(0, 100));
        BOOST_CHECK_THROW(parseUpstreamList(text, "orders"), DecodeError);
    }
    BOOST_CHECK_THROW(parseInstanceList(upstreamDocument(good)), DecodeError);
}

// Guards against mistaking the instance list of the fleet for the upstream list of a service named "entries".
BOOST_AUTO_TEST_CASE(servicesAreParsedFromPaths)
{
    BOOST_TEST(serviceOfUpstreamList(upstreamListPath("orders")).value() == "orders");
    for (const auto *path : {"/instances/entries", "/instances/", "/instances/a/b", "/teams/a/services/b", ""}) {
        BOOST_TEST(!serviceOfUpstreamList(path).has_value(), path);
    }
}

// Guards against upstreams in the list of another service.
BOOST_AUTO_TEST_CASE(documentsAreSplitByService)
{
    const UpstreamEntry order{{"10.0.0.1", 80}, "orders", "a", UpstreamPhase::Serving};
    const UpstreamEntry site{{"10.0.0.2", 80}, "sites", "a", UpstreamPhase::Serving};
    const auto documents = formatListDocuments({}, {order, site});
    BOOST_TEST(documents.size() == 3U);
    BOOST_TEST((parseUpstreamList(documents.at("/instances/sites"), "sites") == std::vector{site}));
    BOOST_TEST(parseInstanceList(documents.at("/instances/entries")).empty());
}
