#include "hemlockchute/fleet/EventStreamSplitter.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <string>

using namespace hemlockchute;

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

BOOST_AUTO_TEST_SUITE_END()
