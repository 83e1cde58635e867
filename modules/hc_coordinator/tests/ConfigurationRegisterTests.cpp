#include "coordinator/ConfigurationRegister.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

LogEntry entry(std::uint64_t index, std::uint64_t version, const std::string& body)
{
    return { LogIndex(index), AgreementTerm(1), LogEntry::Kind::Command, encodeConfigurationBody({ ConfigurationVersion(version), body }) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationRegisterTests)

BOOST_AUTO_TEST_CASE(onlyAHigherVersionReplacesTheConfiguration)
{
    ConfigurationRegister state;
    BOOST_TEST((state.apply(entry(1, 5, "five")) == "5"));
    BOOST_TEST((state.apply(entry(2, 3, "three")) == "5"));
    BOOST_TEST((state.apply(entry(3, 5, "another five")) == "5"));
    BOOST_TEST(state.current()->body == "five");
    BOOST_TEST((state.apply(entry(4, 9, "nine")) == "9"));
    BOOST_TEST(state.current()->body == "nine");
}

BOOST_AUTO_TEST_CASE(aSnapshotRoundTripsAndMalformedBytesAreRejected)
{
    ConfigurationRegister state;
    BOOST_REQUIRE(state.apply(entry(1, 5, "five")));
    ConfigurationRegister restored;
    BOOST_REQUIRE(restored.restore(state.snapshot()));
    BOOST_TEST((restored.current()->version == ConfigurationVersion(5) && restored.current()->body == "five"));
    BOOST_TEST(!restored.restore("rubbish"));
    BOOST_TEST(!restored.apply({ LogIndex(2), AgreementTerm(1), LogEntry::Kind::Command, "rubbish" }));
    BOOST_TEST(restored.current()->body == "five");
}

BOOST_AUTO_TEST_SUITE_END()
