#include "laburnumspar/plugin.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;

namespace {

struct Greeter {
    virtual ~Greeter() = default;
    virtual int answer() const = 0;
};

struct FortyTwo : Greeter {
    int answer() const override
    {
        return 42;
    }
};

const Registration<Greeter, FortyTwo> registration("forty-two");

} // namespace

// Guards against registrations that the linker drops, and against an unknown name that is not reported.
BOOST_AUTO_TEST_CASE(registeredPluginIsCreatedByName)
{
    BOOST_TEST(Registry<Greeter>::global().make("forty-two")->answer() == 42);
    BOOST_CHECK_THROW(Registry<Greeter>::global().make("other"), UnknownPluginError);
}
