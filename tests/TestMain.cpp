#define BOOST_TEST_MODULE hemlockchute
#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

/** Makes RapidCheck generate the same cases on every run, unless RC_PARAMS is set. */
struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=1", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
