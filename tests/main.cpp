#define BOOST_TEST_MODULE clementinegap
#include <boost/test/unit_test.hpp>
