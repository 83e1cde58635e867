#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <sstream>
#include <string>

namespace hemlockchute {

/**
    Runs a RapidCheck property with a fixed seed and reports it to Boost.Test.

    The environment's RC_PARAMS takes the place of the fixed parameters, for long runs, as in
    RC_PARAMS="seed=7 max_success=5000".
*/
template <typename Property>
void checkProperty(const std::string& name, int runs, Property&& property)
{
    constexpr std::uint64_t fixedSeed = 20'261'204;
    rc::detail::TestParams parameters;
    parameters.seed = fixedSeed;
    parameters.maxSuccess = runs;
    if (std::getenv("RC_PARAMS") != nullptr)
        parameters = rc::detail::configuration().testParams;
    rc::detail::TestMetadata metadata;
    metadata.description = name;
    rc::detail::TestResult result = rc::detail::checkTestable(std::forward<Property>(property), metadata, parameters);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    BOOST_TEST_MESSAGE(name << ": " << report.str());
    BOOST_CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), name << " (seed " << parameters.seed << "): " << report.str());
}

} // namespace hemlockchute
