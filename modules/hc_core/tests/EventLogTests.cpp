#include "hemlockchute/core/EventLog.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace hemlockchute;

BOOST_AUTO_TEST_SUITE(EventLogTests)

BOOST_AUTO_TEST_CASE(eventNumbersRiseAndNamesAreUnique)
{
    std::set<std::string_view> names;
    unsigned previous = 0;
    for (const EventDefinition& row : eventTable()) {
        BOOST_TEST(static_cast<unsigned>(row.id) > previous);
        BOOST_TEST(names.insert(row.name).second);
        BOOST_TEST(!row.meaning.empty());
        previous = static_cast<unsigned>(row.id);
    }
}

BOOST_AUTO_TEST_CASE(recordsStayOnOneLine)
{
    std::string line = formatEvent(EventId::DaemonFailed, { { "reason", "two\nlines" } }, LogOptions::Format::KeyValue);
    BOOST_TEST(line == "severity=error event=1004 name=daemon.failed reason=\"two\\u000alines\"");
}

BOOST_AUTO_TEST_CASE(jsonRecordsQuoteKeysAndValues)
{
    std::string line = formatEvent(EventId::DaemonStarted, { { "role", "rou\"ter" } }, LogOptions::Format::Json);
    BOOST_TEST(line == R"({"severity":"info","event":"1000","name":"daemon.started","role":"rou\"ter"})");
}

BOOST_AUTO_TEST_SUITE_END()
