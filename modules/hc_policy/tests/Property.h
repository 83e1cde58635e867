#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdlib>
#include <rapidcheck.h>
#include <sstream>

namespace hemlockchute {

/**
    Checks a RapidCheck property with a fixed seed, unless RC_PARAMS in the environment overrides it.

    @code
    RC_PARAMS="max_success=20000 seed=7" hc_policy_tests -t "RequestQueueFuzz"
    @endcode
*/
template <typename Testable>
void checkProperty(Testable&& testable, int runs = 100, std::uint64_t seed = 20261204)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = runs;
    if (std::getenv("RC_PARAMS"))
        parameters = rc::detail::configuration().testParams;
    rc::detail::TestMetadata metadata;
    metadata.id = boost::unit_test::framework::current_test_case().full_name();
    metadata.description = metadata.id;
    auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, parameters);
    std::ostringstream message;
    message << "seed " << parameters.seed << ": ";
    rc::detail::printResultMessage(result, message);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), message.str());
}

} // namespace hemlockchute
