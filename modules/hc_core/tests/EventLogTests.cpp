#include "NamedPipe.h"
#include "hemlockchute/core/EventLog.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

using namespace hemlockchute;

namespace {

constexpr Instant start {};
const std::string line = std::string(99, 'x') + '\n';

std::uint64_t sum(const std::optional<std::map<EventId, std::uint64_t>>& dropped)
{
    std::uint64_t lines = 0;
    for (const auto& [id, count] : dropped.value_or(std::map<EventId, std::uint64_t>()))
        lines += count;
    return lines;
}

} // namespace

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

BOOST_AUTO_TEST_CASE(rateLimitReservesLinesForFailures)
{
    LogQueue queue({ .linesPerSecond = 100, .maximumPendingBytes = 1 << 20 });
    unsigned successes = 0;
    for (int i = 0; i < 1000; ++i)
        successes += queue.admit(EventId::GatewayAnswered, start) ? 1 : 0;
    BOOST_TEST(successes == 75U);
    unsigned failures = 0;
    for (int i = 0; i < 1000; ++i)
        failures += queue.admit(EventId::GatewayRefused, start) ? 1 : 0;
    BOOST_TEST(failures == 25U);
    BOOST_TEST(sum(queue.takeDropped(start)) == 2000U - 100U);
    BOOST_TEST(!queue.admit(EventId::GatewayRefused, start));
    BOOST_TEST(queue.admit(EventId::GatewayRefused, start + 100ms));
    BOOST_TEST(sum(queue.takeDropped(start + 200ms)) == 0U);
    BOOST_TEST(sum(queue.takeDropped(start + 1s)) == 1U);
}

BOOST_AUTO_TEST_CASE(pendingLinesAreBoundedAndSuccessesAreDroppedFirst)
{
    LogQueue queue({ .linesPerSecond = 1000, .maximumPendingBytes = 10 * line.size() });
    queue.setUnwritten(2 * line.size());
    for (int i = 0; i < 20; ++i)
        queue.push(EventId::GatewayAnswered, line);
    BOOST_TEST(queue.take().size() == 5 * line.size());
    for (int i = 0; i < 20; ++i)
        queue.push(EventId::GatewayRefused, line);
    BOOST_TEST(queue.take().size() == 8 * line.size());
    BOOST_TEST(sum(queue.takeDropped(start)) == 15U + 12U);
}

BOOST_AUTO_TEST_CASE(aStoppedLogReaderDoesNotBlockWriters)
{
    NamedPipe pipe;
    configureLog(LogOptions().withFile(pipe.path()).withBounds({ .linesPerSecond = 1'000'000, .maximumPendingBytes = 1 << 18 }));
    constexpr unsigned records = 20'000;
    Instant startTime = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < records; ++i)
        logEvent(EventId::GatewayAnswered, { { "request", "r" + std::to_string(i) } });
    // A blocking write to the full pipe would never return, since nobody reads it.
    BOOST_TEST((std::chrono::steady_clock::now() - startTime < 5s));

    std::string text = pipe.readAll();
    std::size_t written = 0;
    for (std::size_t at = text.find("name=gateway.answered"); at != std::string::npos; at = text.find("name=gateway.answered", at + 1))
        ++written;
    std::size_t dropped = 0;
    for (std::size_t at = text.find("name=log.lines_left_out lines="); at != std::string::npos; at = text.find("name=log.lines_left_out lines=", at + 1))
        dropped += std::stoul(text.substr(at + std::string("name=log.lines_left_out lines=").size()));
    BOOST_TEST(dropped > 0U);
    BOOST_TEST(written + dropped == records);
    closeLog();
}

BOOST_AUTO_TEST_CASE(closeLogReturnsWhenNobodyReadsTheLog)
{
    NamedPipe pipe;
    configureLog(LogOptions().withFile(pipe.path()));
    for (unsigned i = 0; i < 1000; ++i)
        logEvent(EventId::GatewayRefused, { { "request", std::string(400, 'r') } });
    Instant startTime = std::chrono::steady_clock::now();
    closeLog();
    BOOST_TEST((std::chrono::steady_clock::now() - startTime < 2s));
}

BOOST_AUTO_TEST_CASE(pendingLinesAreWrittenBeforeTheLogIsClosed)
{
    TemporaryFolder folder;
    configureLog(LogOptions().withFile(folder.path / "log"));
    for (unsigned i = 0; i < 200; ++i)
        logEvent(EventId::GatewayRefused, { { "request", i } });
    closeLog();
    BOOST_TEST(std::filesystem::file_size(folder.path / "log") > 200 * line.size() / 2);
    std::ifstream file(folder.path / "log");
    std::string last;
    for (std::string each; std::getline(file, each);)
        last = each;
    BOOST_TEST(last.ends_with("request=199"));
}

BOOST_AUTO_TEST_CASE(endProcessWritesItsRecord)
{
    TemporaryFolder folder;
    std::filesystem::path log = folder.path / "log";
    pid_t child = fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        configureLog(LogOptions().withFile(log));
        endProcess(EventId::KeeperStorageFailed, "the disk is full");
    }
    int status = 0;
    BOOST_REQUIRE(waitpid(child, &status, 0) == child);
    BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 1));
    std::ifstream file(log);
    std::string line;
    std::getline(file, line);
    BOOST_TEST(line.ends_with("reason=\"the disk is full\""));
}

BOOST_AUTO_TEST_SUITE_END()
