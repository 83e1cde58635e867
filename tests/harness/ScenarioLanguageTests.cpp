#include "ScenarioLanguage.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hemlockchute::harness;

namespace {

const Forms forms { "kill HOST:name ROLE:name", "wait TIME:number ms", "ask MODEL:text as LABEL:name [rank RANK:name] [tokens TOKENS:number]" };

std::string errorOf(const std::string& text)
{
    try {
        parseScenario(text, "x.scenario", forms);
    } catch (const ScenarioSyntaxError& error) {
        return error.what();
    }
    return "no error";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ScenarioLanguageTests)

BOOST_AUTO_TEST_CASE(statementsAreParsedWithOptionalParts)
{
    auto statements = parseScenario("# a story\nask \"fit advice\" as A tokens 4 # four\nkill tallinn-1 keeper\n", "x.scenario", forms);
    BOOST_REQUIRE(statements.size() == 2U);
    BOOST_TEST(statements[0].at("MODEL") == "fit advice");
    BOOST_TEST(statements[0].number("TOKENS", 0) == 4);
    BOOST_TEST(!statements[0].has("RANK"));
    BOOST_TEST(statements[1].at("HOST") == "tallinn-1");
    BOOST_TEST(statements[1].line == 3U);
}

BOOST_AUTO_TEST_CASE(errorsNameLineAndColumn)
{
    BOOST_TEST(errorOf("wait 5 ms\nkill \"x\" keeper\n") == "x.scenario:2:6: expected a name for HOST, found 'x'");
    BOOST_TEST(errorOf("wait 5\n") == "x.scenario:1:7: expected 'ms', found the end of the line");
    BOOST_TEST(errorOf("wait 5 ms now\n") == "x.scenario:1:11: expected the end of the line, found 'now'");
    BOOST_TEST(errorOf("dance\n") == "x.scenario:1:1: expected a statement, found 'dance'");
    BOOST_TEST(errorOf("wait \"unclosed\n") == "x.scenario:1:6: expected a name, a number or a text in quotes");
}

BOOST_AUTO_TEST_CASE(randomBytesGiveAnErrorOrStatements)
{
    BOOST_TEST(rc::check("any bytes", [](const std::string& text) {
        try {
            parseScenario(text, "x.scenario", forms);
        } catch (const ScenarioSyntaxError& error) {
            RC_ASSERT(std::string(error.what()).starts_with("x.scenario:"));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
