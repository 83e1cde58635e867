#define BOOST_TEST_MODULE hemlockchute
#include <boost/test/unit_test.hpp>
