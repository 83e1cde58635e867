#include "hemlockchute/settings/settings.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

BOOST_AUTO_TEST_SUITE(SettingsFileTests)

BOOST_AUTO_TEST_CASE(everyFaultIsReportedWithItsLine)
{
    SettingsFile file = SettingsFile::parse("[listen]\n"
                                            "callers = \"not-an-endpoint\"\n"
                                            "threads = 99\n"
                                            "idle = \"5 parsecs\"\n"
                                            "surprise = 1\n",
        "router.toml");
    SettingsTable listen = file.root().table("listen");
    listen.endpoint("callers");
    listen.integer("threads", 2, 1, 64);
    listen.duration("idle", 5s);
    listen.text("name");

    const std::vector<std::string> expected {
        "router.toml:1: listen.name: is missing; it must be a text",
        "router.toml:2: listen.callers: is \"not-an-endpoint\", but must be an IP number and port such as \"127.0.0.1:8080\"",
        "router.toml:3: listen.threads: is 99, but must lie from 1 to 64",
        "router.toml:4: listen.idle: must be a time such as \"250ms\", \"5s\", \"2m\" or \"1h\"",
        "router.toml:5: listen.surprise: is not a known setting",
    };
    BOOST_TEST(file.faults() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(goodValuesAreRead)
{
    SettingsFile file = SettingsFile::parse("a = \"[::1]:80\"\nb = \"250ms\"\nc = \"64MiB\"\nd = [\"x\", \"y\"]\n[[e]]\nf = true\n", "good.toml");
    SettingsTable root = file.root();
    BOOST_TEST(formatEndpoint(root.endpoint("a")) == "[::1]:80");
    BOOST_TEST((root.duration("b", 0s) == 250ms));
    BOOST_TEST((root.bytes("c", ByteCount()) == ByteCount::mebibytes(64)));
    BOOST_TEST(root.texts("d").size() == 2U);
    BOOST_TEST(root.tables("e").at(0).flag("f", false));
    BOOST_TEST(file.faults().empty());
}

BOOST_AUTO_TEST_CASE(brokenTomlNamesTheLine)
{
    SettingsFile file = SettingsFile::parse("a = 1\nb = = 2\n", "broken.toml");
    BOOST_TEST(file.faults().size() == 1U);
    BOOST_TEST(file.faults().front().starts_with("broken.toml:2: "));
}

BOOST_AUTO_TEST_CASE(missingFileIsAFault)
{
    SettingsFile file = SettingsFile::load("no-such-file.toml");
    BOOST_TEST(file.faults() == std::vector<std::string> { "no-such-file.toml: cannot be read" }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
