#define BOOST_TEST_MODULE hemlockchute
#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

/** Lets RapidCheck try the same cases on every run, unless RC_PARAMS says otherwise. */
struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=1", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
