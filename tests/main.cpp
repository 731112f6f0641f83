#define BOOST_TEST_MODULE laburnumspar
#include <boost/test/unit_test.hpp>
