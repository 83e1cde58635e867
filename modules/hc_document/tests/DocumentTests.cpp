#include "hemlockchute/document/document.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hemlockchute;

namespace {

const std::string counterSection = "# urgent work\n"
                                   "[[team.counter.ranks]]\n"
                                   "name = \"counter\"\n"
                                   "order = 0\n"
                                   "floor_per_mille = 600\n"
                                   "first_token_target = \"690ms\"\n"
                                   "\n"
                                   "[[team.counter.models]]\n"
                                   "name = \"fit-advice\"\n"
                                   "replicas = 2\n"
                                   "memory = \"8GiB\"\n";
const std::string officeSection = "[[team.office.services]]\n"
                                  "name = \"booking\"\n"
                                  "timeout = \"3s\"\n"
                                  "[[team.office.drains]]\n"
                                  "backend_server = \"e1\"\n"
                                  "reason = \"\"\"\n[team.counter]\nnot a header\"\"\"\n"
                                  "[team.office.limits]\n"
                                  "adapters_in_flight = 16\n";

std::vector<std::string> faultsOf(std::string_view text)
{
    auto document = parseDocument(text, DocumentVersion(1));
    std::vector<std::string> lines;
    if (document)
        return lines;
    for (const DocumentFault& fault : document.error())
        lines.push_back(fault.text());
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentTests)

BOOST_AUTO_TEST_CASE(everySectionIsReadAndKeepsItsText)
{
    auto document = parseDocument(counterSection + "\n\n" + officeSection, DocumentVersion(7));
    BOOST_REQUIRE(document);
    BOOST_TEST(document->version == DocumentVersion(7));
    BOOST_TEST(document->sections.at(TeamName("counter")) == counterSection);
    BOOST_TEST(document->sections.at(TeamName("office")) == officeSection);
    BOOST_TEST(document->ranks.at(RankName("counter")).floorPerMille == 600U);
    BOOST_TEST((document->ranks.at(RankName("counter")).firstTokenTarget == 690ms));
    BOOST_TEST(document->models.at(ModelName("fit-advice")).replicas == 2U);
    BOOST_TEST((document->models.at(ModelName("fit-advice")).memory == ByteCount::gibibytes(8)));
    BOOST_TEST((document->services.at(ServiceName("booking")).timeout == 3s));
    BOOST_TEST(document->drains.at(BackendServerName("e1")).reason == "[team.counter]\nnot a header");
    BOOST_TEST(document->limits.adaptersInFlight == 16U);
}

BOOST_AUTO_TEST_CASE(everyFaultIsFoundWithItsLineInTheWholeDocument)
{
    const std::vector<std::string> expected {
        "line 1: stands outside any team's section",
        "line 3: team counter: rank: name: is missing; it must be a name of 1 to 100 characters of a-z A-Z 0-9 . _ -",
        "line 4: team counter: rank: order: must be a whole number",
        "line 4: team counter: rank: order: must be given, from 0 to 1000",
        "line 6: team office: service: name: must be a name of 1 to 100 characters of a-z A-Z 0-9 . _ -",
        "line 7: team office: service: tiemout: is not a known key",
        "line 9: team counter: model: memory: is missing; it must be a size above zero and up to \"1024TiB\", such as \"64KiB\", \"8MiB\" or \"2GiB\"",
        "line 11: team counter: model: replicas: is 1001, but must lie from 0 to 1000",
        "line 12: team office: adapter: model: there is no model \"gone\"",
        "line 15: is not a header of a team's section, such as [team.NAME]",
        "line 16: stands outside any team's section",
        "line 18: team yard: ",
    };
    std::string text = "stray = 1\n\n"
                       "[[team.counter.ranks]]\norder = \"first\"\n"
                       "[[team.office.services]]\nname = \"a b\"\ntiemout = \"3s\"\n\n"
                       "[[team.counter.models]]\nname = \"m\"\nreplicas = 1001\n"
                       "[[team.office.adapters]]\nname = \"x\"\nmodel = \"gone\"\n"
                       "[limits]\na = 1\n"
                       "[team.yard]\nbad = = 1\n";
    auto found = faultsOf(text);
    BOOST_REQUIRE(found.size() == expected.size());
    // The message of a syntax error comes from the TOML parser, so only its line and team are compared.
    found.back().resize(expected.back().size());
    BOOST_TEST(found == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(namesOrdersFloorsAndLimitsAreCheckedAcrossTeams)
{
    std::string text = "[[team.a.ranks]]\nname = \"x\"\norder = 0\nfloor_per_mille = 600\n[team.a.limits]\n"
                       "[[team.b.ranks]]\nname = \"x\"\norder = 0\nfloor_per_mille = 401\n[team.b.limits]\n";
    const std::vector<std::string> expected {
        "line 7: team b: rank: name: \"x\" stands already in the section of team a",
        "line 8: team b: rank: order: is that of rank \"x\" already",
        "line 9: team b: rank: floor_per_mille: makes the sum of all ranks 1001, but it must be at most 1000",
        "line 10: team b: limits: stand already in the section of team a",
    };
    BOOST_TEST(faultsOf(text) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aSectionsTextIsTheSameWhereverItStands)
{
    auto first = parseDocument("# head\n\n" + officeSection + "\n\n" + counterSection + "# tail\n", DocumentVersion(1));
    BOOST_REQUIRE(first);
    auto second = parseDocument(documentText(first->sections), DocumentVersion(1));
    BOOST_REQUIRE(second);
    BOOST_TEST((first->sections == second->sections));
    BOOST_TEST((first->digest == second->digest));
    BOOST_TEST(first->sections.at(TeamName("office")).starts_with("# head\n[[team.office"));
    BOOST_TEST(first->sections.at(TeamName("counter")) == counterSection + "# tail\n");
}

BOOST_AUTO_TEST_CASE(aDeltaLeadsFromOneVersionToTheNext)
{
    auto before = parseDocument(counterSection, DocumentVersion(1));
    auto after = parseDocument(officeSection, DocumentVersion(2));
    BOOST_REQUIRE((before && after));
    SectionDelta delta = sectionDelta(*before, *after);
    BOOST_TEST(delta.sections.size() == 2U);
    auto applied = applyDelta(*before, delta);
    BOOST_REQUIRE(applied);
    BOOST_TEST((applied->sections == after->sections));
    BOOST_TEST(applied->version == DocumentVersion(2));

    BOOST_TEST(!applyDelta(*after, delta));
    delta.sections[TeamName("office")] = officeSection + "# more\n";
    BOOST_TEST(!applyDelta(*before, delta));
}

BOOST_AUTO_TEST_CASE(anEmptyDocumentIsValid)
{
    auto document = parseDocument("", DocumentVersion());
    BOOST_REQUIRE(document);
    BOOST_TEST(document->sections.empty());
}

//==============================================================================
BOOST_AUTO_TEST_CASE(randomBytesGiveADocumentOrFaultsInOrder)
{
    BOOST_TEST(rc::check("random bytes", [](const std::string& text) {
        auto document = parseDocument(text, DocumentVersion(1));
        if (!document)
            RC_ASSERT(!document.error().empty() && std::is_sorted(document.error().begin(), document.error().end()));
    }));
}

BOOST_AUTO_TEST_CASE(aMutatedDocumentIsRefusedClearlyOrReadBackTheSame)
{
    BOOST_TEST(rc::check("mutated documents", [] {
        static const std::vector<std::string> pieces { "[", "]", "\"", "'''", "\"\"\"", "\n", "#", "team", ".", "=", "[team.x]\n", "[[", "{", "\xff", "\\", "1979-05-27", std::string(1, '\0'), "\r\n", "[team]\n" };
        std::string text = counterSection + "# tail\n\n" + officeSection;
        auto count = *rc::gen::inRange(1, 8);
        for (int i = 0; i < count; ++i) {
            auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            auto length = *rc::gen::inRange<std::size_t>(0, 12);
            text.replace(at, length, *rc::gen::elementOf(pieces));
        }
        auto document = parseDocument(text, DocumentVersion(1));
        auto lines = static_cast<unsigned>(std::count(text.begin(), text.end(), '\n') + 1);
        if (!document) {
            RC_ASSERT(!document.error().empty());
            for (const DocumentFault& fault : document.error())
                RC_ASSERT(fault.line > 0 && fault.line <= lines && !fault.message.empty());
            return;
        }
        auto again = parseDocument(documentText(document->sections), DocumentVersion(1));
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->sections == document->sections);
        RC_ASSERT(again->digest == document->digest);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
