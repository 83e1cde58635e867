#include "hemlockchute/fleet/EventStreamSplitter.h"

#include "CostRatio.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <string>

using namespace hemlockchute;
namespace data = boost::unit_test::data;

namespace {

/** The length of the whole events at the beginning of a text. */
std::size_t wholeEventsLength(std::string_view text)
{
    std::size_t length = 0;
    while (true) {
        std::size_t plain = text.find("\n\n", length);
        std::size_t carriage = text.find("\n\r\n", length);
        if (plain == std::string_view::npos && carriage == std::string_view::npos)
            return length;
        length = plain < carriage ? plain + 2 : carriage + 3;
    }
}

std::string repeated(std::string_view piece, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += piece;
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventStreamSplitterTests)

BOOST_AUTO_TEST_CASE(onlyCompleteEventsAreReturned)
{
    EventStreamSplitter splitter;
    WholeEvents first = splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    BOOST_TEST(first.bytes == "id: 1\ndata: a\n\n");
    BOOST_TEST((first.lastId == 1U));
    BOOST_TEST(splitter.hasPartialEvent());
    WholeEvents second = splitter.feed("ta: b\n\n");
    BOOST_TEST(second.bytes == "id: 2\ndata: b\n\n");
    BOOST_TEST((second.lastId == 2U));
    BOOST_TEST(!splitter.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(eventsWithCarriageReturnsAndWithoutIds)
{
    EventStreamSplitter splitter;
    WholeEvents events = splitter.feed("id:7\r\ndata: a\r\n\r\n: comment\r\n\r\n");
    BOOST_TEST(events.bytes == "id:7\r\ndata: a\r\n\r\n: comment\r\n\r\n");
    BOOST_TEST((events.lastId == 7U));
    BOOST_TEST(!splitter.feed("data: id: 9\n\n").lastId);
}

BOOST_AUTO_TEST_CASE(theResultDoesNotDependOnHowTheBytesAreSplit)
{
    bool holds = rc::check("cut anywhere", [] {
        std::string whole;
        auto count = *rc::gen::inRange(1, 8);
        for (int i = 1; i <= count; ++i)
            whole += "id: " + std::to_string(i) + "\ndata: " + std::string(*rc::gen::inRange<std::size_t>(0, 20), 'x') + "\n\n";
        EventStreamSplitter splitter;
        std::string out;
        std::optional<std::uint64_t> last;
        std::size_t at = 0;
        while (at < whole.size()) {
            std::size_t step = *rc::gen::inRange<std::size_t>(1, 9);
            WholeEvents events = splitter.feed(std::string_view(whole).substr(at, step));
            out += events.bytes;
            if (events.lastId)
                last = events.lastId;
            at += step;
        }
        RC_ASSERT(out == whole);
        RC_ASSERT(last == static_cast<std::uint64_t>(count));
        RC_ASSERT(!splitter.hasPartialEvent());
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(linesOfAllKindsAreSplitWhereverThePiecesEnd)
{
    bool holds = rc::check("any lines, cut anywhere", [] {
        static const std::string pieces[] = { "\n", "\r\n", "\r", "id: 3", "data: x", ":", " " };
        std::string whole;
        for (std::size_t index : *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, std::size(pieces))))
            whole += pieces[index];
        EventStreamSplitter splitter;
        std::string out;
        for (std::size_t at = 0, step = 0; at < whole.size(); at += step) {
            step = *rc::gen::inRange<std::size_t>(1, 9);
            out += splitter.feed(std::string_view(whole).substr(at, step)).bytes;
            RC_ASSERT(out.size() == wholeEventsLength(std::string_view(whole).substr(0, at + step)));
        }
        RC_ASSERT(whole.starts_with(out));
        RC_ASSERT(splitter.partialBytes() == whole.size() - out.size());
    });
    BOOST_TEST(holds);
}

/** Guards against a search through the rest of a piece for each of its events: a server that sends nothing but empty lines kept the gateway from all its callers. */
BOOST_DATA_TEST_CASE(theCostGrowsInProportionToTheBytes, data::make<std::string>({ "\n", "\r\n", ":\n\n", ":\r\n\r\n", "id: 1\n\n", "id: 1\r\n\r\n", "data: x\n", "x" }), piece)
{
    CostRatio cost(4U << 10U, 32U << 10U);
    double ratio = cost.measure([&](std::size_t bytes) { EventStreamSplitter().feed(repeated(piece, bytes)); });
    BOOST_TEST(ratio < cost.limit());
    double ratioInPieces = cost.measure([&](std::size_t bytes) {
        EventStreamSplitter splitter;
        std::string text = repeated(piece, bytes);
        for (std::size_t at = 0; at < bytes; at += 16)
            splitter.feed(std::string_view(text).substr(at, 16));
    });
    BOOST_TEST(ratioInPieces < cost.limit());
}

BOOST_AUTO_TEST_SUITE_END()
