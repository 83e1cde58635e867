#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <sstream>
#include <string>

namespace hemlockchute {

/**
    Runs a RapidCheck property a number of times and reports it to Boost.Test.

    The environment variable RC_PARAMS overrides seed and number of runs, for example
    RC_PARAMS="seed=7 max_success=5000". Without it TestMain.cpp sets a fixed seed.
*/
template <typename Property>
void checkProperty(const std::string& name, int runs, Property&& property)
{
    rc::detail::TestParams parameters = rc::detail::configuration().testParams;
    const char* environment = std::getenv("RC_PARAMS");
    bool hasNumber = environment != nullptr && std::string(environment).find("max_success") != std::string::npos;
    if (!hasNumber)
        parameters.maxSuccess = runs;
    rc::detail::TestMetadata metadata;
    metadata.description = name;
    rc::detail::TestResult result = rc::detail::checkTestable(std::forward<Property>(property), metadata, parameters);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    BOOST_TEST_MESSAGE(name << ": " << report.str());
    BOOST_CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), name << " (seed " << parameters.seed << "): " << report.str());
}

} // namespace hemlockchute
