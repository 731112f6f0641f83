#include "laburnumspar/errors.h"
#include "laburnumspar/routetable.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;

namespace {

Organisation makeOrganisation(const std::string &name)
{
    return {name, std::nullopt, {}};
}

std::string keyOf(int organisation, int n)
{
    return "key-" + std::to_string(organisation) + '-' + std::to_string(n);
}

} // namespace

// Guards against keys that are lost or change their owner when the table grows.
BOOST_AUTO_TEST_CASE(eachKeyLeadsToItsOrganisation)
{
    constexpr int Organisations = 2000;
    OrganisationTable table;
    for (int n = 0; n < Organisations; ++n) {
        const auto first = keyOf(n, 0);
        const auto second = keyOf(n, 1);
        table.add(makeOrganisation("o" + std::to_string(n)), {first, second, first});
    }
    BOOST_TEST(table.keyCount() == 2U * Organisations);
    for (int n = 0; n < Organisations; ++n) {
        for (const int key : {0, 1}) {
            const auto *found = table.find(digestOfKey(keyOf(n, key)));
            BOOST_REQUIRE(found != nullptr);
            BOOST_REQUIRE(found->name == "o" + std::to_string(n));
        }
        BOOST_REQUIRE(table.find(digestOfKey(keyOf(n, 2))) == nullptr);
    }
}

// Guards against a key that two organisations share, with which callers of one could act for the other.
BOOST_AUTO_TEST_CASE(aSharedKeyIsRejected)
{
    OrganisationTable table;
    table.add(makeOrganisation("a"), {"k1", "k2"});
    BOOST_CHECK_THROW(table.add(makeOrganisation("b"), {"k3", "k2"}), SettingsError);
    OrganisationTable other;
    BOOST_CHECK_THROW(other.add(makeOrganisation("a"), {""}), SettingsError);
    const std::string tooLong(OrganisationTable::MaxKeyBytes + 1, 'k');
    BOOST_CHECK_THROW(other.add(makeOrganisation("a"), {tooLong}), SettingsError);
}

// Guards against requests without a valid key that reach an upstream, and against keys that are asked for where none is
// needed.
BOOST_AUTO_TEST_CASE(accessNeedsAKeyUnlessTheRouteIsPublic)
{
    Route closed;
    Route open;
    open.isPublic = true;
    RouteTable::Builder without(1);
    BOOST_TEST(without.build()->access(closed, std::nullopt).granted);

    OrganisationTable organisations;
    organisations.add(makeOrganisation("a"), {"k1"});
    RouteTable::Builder builder(1);
    const auto table = builder.organisations(std::move(organisations)).build();
    BOOST_TEST(!table->access(closed, std::nullopt).granted);
    BOOST_TEST(!table->access(closed, digestOfKey("k2")).granted);
    BOOST_TEST(table->access(closed, digestOfKey("k1")).organisation->name == "a");
    BOOST_TEST(table->access(open, digestOfKey("k2")).granted);
    BOOST_TEST(table->access(open, std::nullopt).organisation == nullptr);
}
