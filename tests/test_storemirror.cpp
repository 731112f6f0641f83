#include "laburnumspar/storemirror.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;

// Guards against an older write that arrives late from another instance and brings a removed item back.
BOOST_AUTO_TEST_CASE(olderWritesDoNotReturn)
{
    StoreMirror mirror;
    mirror.apply({"servers/a", "one", 5, false});
    mirror.apply({"servers/a", "", 9, true});
    BOOST_TEST((mirror.apply({"servers/a", "one", 5, false}) == StoreMirror::Change::None));
    BOOST_TEST(mirror.find("servers/a")->removed);
    BOOST_TEST((mirror.apply({"servers/a", "two", 12, false}) == StoreMirror::Change::Applied));
    BOOST_TEST(mirror.find("servers/a")->value == "two");
    BOOST_TEST(mirror.newestChange() == 12U);
}

// Guards against peers that pull again what they have, or miss a removal.
BOOST_AUTO_TEST_CASE(changesAfterARevisionIncludeRemovals)
{
    StoreMirror mirror;
    mirror.apply({"a", "1", 1, false});
    mirror.apply({"b", "2", 2, false});
    mirror.apply({"a", "", 3, true});
    const auto changes = mirror.changesAfter(1);
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST(mirror.changesAfter(3).empty());
}
