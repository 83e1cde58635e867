#include "Arguments.h"
#include "Console.h"
#include "DrainEditor.h"
#include "LineDiff.h"

#include "hemlockchute/http/HttpServer.h"
#include "hemlockchute/settings/SettingsFile.h"
#include "hemlockchute/storage/WriteAheadLog.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace hemlockchute;
namespace asio = boost::asio;

namespace {

const std::string section = "[[team.a.models]]\nname = \"m\"\nmemory = \"1GiB\"\n";

void writeFile(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream(path, std::ios::binary) << text;
}

/** A temporary folder that is removed after the test. */
struct TestFolder {
    TestFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "hemlockctl-XXXXXX").string();
        path = mkdtemp(pattern.data());
    }
    ~TestFolder() { std::filesystem::remove_all(path); }

    std::filesystem::path path;
};

/** Exit code and output of a run of hemlockctl. */
struct Outcome {
    int exitCode = 0;
    std::string out;
    std::string err;
};

/** A fake keeper that returns scripted answers and records the requests. */
struct Fixture : TestFolder {
    Fixture()
        : server(context, HttpServer::Options(), [this](HttpExchange& exchange) { return answer(exchange); })
        , work(asio::make_work_guard(context))
        , thread([this] { context.run(); })
    {
        Endpoint endpoint = server.listen(Endpoint(asio::ip::make_address("127.0.0.1"), 0)).value();
        // Nothing listens at the first address.
        writeFile(path / "hemlockctl.toml", "keepers = [\"127.0.0.1:1\", \"" + formatEndpoint(endpoint) + "\"]\ntoken_file = \"token\"\n");
        writeFile(path / "token", "secret\n");
        writeFile(path / "new.toml", section);
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    asio::awaitable<void> answer(HttpExchange& exchange)
    {
        HttpResponse response = next(exchange.request());
        co_await exchange.respond(std::move(response));
    }

    HttpResponse next(const HttpRequest& request)
    {
        std::lock_guard guard(lock);
        requests.push_back(request);
        if (script.empty())
            return HttpResponse::text(500, "the script is over");
        HttpResponse response = script.front();
        script.erase(script.begin());
        return response;
    }

    void answerDocument(const std::string& text, const std::string& version)
    {
        HttpResponse response = HttpResponse::text(200, text);
        response.headers.set("X-Document-Version", version);
        script.push_back(response);
    }

    Outcome run(std::vector<std::string> words, const std::string& input = "")
    {
        words.insert(words.begin(), "--settings=" + (path / "hemlockctl.toml").string());
        std::istringstream in(input);
        std::ostringstream out;
        std::ostringstream err;
        int exitCode = runHemlockctl(words, { in, out, err });
        return { exitCode, out.str(), err.str() };
    }

    std::string file(const std::string& name) const { return (path / name).string(); }

    std::mutex lock;
    std::vector<HttpResponse> script;
    std::vector<HttpRequest> requests;
    asio::io_context context;
    HttpServer server;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HemlockctlTests, Fixture)

BOOST_AUTO_TEST_CASE(aSubmissionIsRetriedUnderTheSameSubmitId)
{
    script.push_back(HttpResponse::json(503, "{}"));
    script.push_back(HttpResponse::json(200, "{\"verdict\":\"accepted\",\"version\":8,\"in_force\":{\"tallinn\":true,\"tartu\":false}}"));
    Outcome outcome = run({ "submit", file("new.toml"), "--base=7" });
    BOOST_TEST(outcome.exitCode == 0);
    BOOST_TEST(outcome.out == "accepted as version 8\n  tallinn: in force\n  tartu: not yet in force\n");
    BOOST_REQUIRE(requests.size() == 2U);
    BOOST_TEST(requests[0].target == requests[1].target);
    BOOST_TEST(requests[0].queryParameter("base").value() == "7");
    BOOST_TEST(requests[0].queryParameter("submit_id").value().size() == 32U);
    BOOST_TEST(requests[0].headers.find("Authorization").value() == "Bearer secret");
    BOOST_TEST(requests[0].body == section);
}

BOOST_AUTO_TEST_CASE(anAnswerWithAnInvalidStatusIsNotTheKeepers)
{
    script.push_back({ 0, {}, "{\"verdict\":\"accepted\",\"version\":1}" });
    script.push_back(HttpResponse::json(200, "{\"verdict\":\"accepted\",\"version\":8,\"in_force\":{}}"));
    Outcome outcome = run({ "submit", file("new.toml"), "--base=7" });
    BOOST_TEST(outcome.exitCode == 0);
    BOOST_TEST(outcome.out.find("accepted as version 8") != std::string::npos, outcome.out << outcome.err);
    BOOST_REQUIRE(requests.size() == 2U);
    BOOST_TEST(requests[0].target == requests[1].target);
}

BOOST_AUTO_TEST_CASE(refusedSubmissionsExplainTheReason)
{
    script.push_back(HttpResponse::json(409, "{\"verdict\":\"conflict\",\"version\":9}"));
    script.push_back(HttpResponse::json(403, "{\"verdict\":\"forbidden\",\"version\":9,\"faults\":[{\"line\":0,\"team\":\"b\",\"what\":\"no\"}]}"));
    script.push_back(HttpResponse::json(401, "{\"title\":\"Unauthorised\",\"detail\":\"unknown token\"}"));
    Outcome conflict = run({ "submit", file("new.toml"), "--base=7", "--submit-id=x" });
    BOOST_TEST(conflict.exitCode == 1);
    BOOST_TEST(conflict.err == "submit id x\nconflict: version 9 is in force; take its changes in and submit on top of it\n");
    BOOST_TEST(run({ "submit", file("new.toml"), "--base=9" }).err.ends_with("forbidden; nothing was changed\n  team b: no\n"));
    BOOST_TEST(run({ "status" }).err == "Unauthorised: unknown token\n");
}

BOOST_AUTO_TEST_CASE(aFaultyDocumentIsNotSent)
{
    writeFile(path / "bad.toml", section + "extra = 1\n");
    for (const std::string command : { "validate", "diff" }) {
        Outcome outcome = run({ command, file("bad.toml") });
        BOOST_TEST(outcome.exitCode == 2);
        BOOST_TEST(outcome.err == file("bad.toml") + ": line 4: team a: model: extra: is not a known key\n");
    }
    BOOST_TEST(run({ "submit", file("bad.toml"), "--base=1", "--json" }).out == "{\"faults\":[{\"line\":4,\"team\":\"a\",\"what\":\"model: extra: is not a known key\"}]}\n");
    BOOST_TEST(run({ "validate", file("new.toml") }).exitCode == 0);
    BOOST_TEST(run({ "validate", file("none.toml") }).exitCode == 2);
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(unreachableKeepersGiveExitCodeThree)
{
    writeFile(path / "hemlockctl.toml", "keepers = [\"127.0.0.1:1\"]\ntoken_file = \"token\"\n");
    Outcome outcome = run({ "status", "--timeout=1" });
    BOOST_TEST(outcome.exitCode == 3);
    BOOST_TEST(outcome.err.find("127.0.0.1:1: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(showAndDiffReadTheDocument)
{
    answerDocument(section + "\n[team.b]\n", "4");
    Outcome shown = run({ "show", "--section=b" });
    BOOST_TEST((shown.out == "[team.b]\n" && shown.err == "version 4\n"));
    answerDocument("[[team.a.models]]\nname = \"m\"\nmemory = \"2GiB\"\n\n[team.b]\n", "4");
    BOOST_TEST(run({ "diff", file("new.toml") }).out == "section a: changed\n-memory = \"2GiB\"\n+memory = \"1GiB\"\nsection b: removed\n-[team.b]\n");
    answerDocument(section, "4");
    BOOST_TEST(run({ "show", "--section=c" }).exitCode == 1);
}

BOOST_AUTO_TEST_CASE(aDrainIsReappliedAfterAVersionConflict)
{
    answerDocument(section, "1");
    script.push_back(HttpResponse::json(409, "{\"verdict\":\"conflict\",\"version\":2}"));
    answerDocument(section + "\n[team.b]\n", "2");
    script.push_back(HttpResponse::json(200, "{\"verdict\":\"accepted\",\"version\":3,\"in_force\":{}}"));
    BOOST_TEST(run({ "drain", "e1", "--team=b", "--reason=disk \"x\"" }).exitCode == 0);
    BOOST_REQUIRE(requests.size() == 4U);
    BOOST_TEST(requests[3].queryParameter("base").value() == "2");
    std::string drained = section + "\n[team.b]\n\n[[team.b.drains]]\nbackend_server = \"e1\"\nreason = \"disk \\\"x\\\"\"\n";
    BOOST_TEST(requests[3].body == drained);
    BOOST_TEST(requests[1].target != requests[3].target);

    answerDocument(drained, "3");
    script.push_back(HttpResponse::json(200, "{\"verdict\":\"accepted\",\"version\":4,\"in_force\":{}}"));
    BOOST_TEST(run({ "undrain", "e1" }).exitCode == 0);
    auto without = parseDocument(requests.back().body, DocumentVersion(4));
    BOOST_REQUIRE(without);
    BOOST_TEST(without->drains.empty());
    BOOST_TEST(without->models.size() == 1U);
}

BOOST_AUTO_TEST_CASE(memberChangesAndRunQueriesAreSent)
{
    script.push_back(HttpResponse::json(200, "{\"done\":true}"));
    script.push_back(HttpResponse::json(200, "{\"key\":\"a b\",\"state\":\"done\",\"status\":200,\"content_type\":\"text/plain\",\"body\":\"booked\"}"));
    script.push_back(HttpResponse::json(503, "{\"title\":\"Not done\"}"));
    BOOST_TEST(run({ "members", "replace", "4", "127.0.3.1:7103" }).out == "done\n");
    BOOST_TEST(requests[0].body == "{\"action\":\"replace\",\"keeper\":4,\"peer\":\"127.0.3.1:7103\"}");
    BOOST_TEST(run({ "runs", "show", "a b" }).out == "key a b: done\nstatus 200, text/plain\nbooked\n");
    BOOST_TEST(requests[1].target == "/v1/runs/a%20b");
    // A membership change that may have taken effect is not retried.
    BOOST_TEST(run({ "members", "remove", "4" }).exitCode == 3);
    BOOST_TEST(requests.size() == 3U);
    BOOST_TEST(run({ "members", "add", "four", "127.0.3.1:7103" }).exitCode == 2);
}

BOOST_AUTO_TEST_CASE(statusIsPrintedAsATable)
{
    script.push_back(HttpResponse::json(200, "{\"keeper\":1,\"leader\":2,\"version\":8,\"keepers\":[{\"id\":1,\"voter\":true,\"matched\":5}],\"hosts\":[{\"name\":\"t1\",\"data_centre\":\"tallinn\",\"version\":null}],\"data_centres\":[{\"name\":\"tallinn\",\"in_force\":false,\"leader\":\"\",\"fencing\":3}]}"));
    std::string out = run({ "status" }).out;
    BOOST_TEST(out.starts_with("document version 8, leading keeper 2, asked keeper 1\n"));
    BOOST_TEST(out.find("t1                      tallinn                 not heard of\n") != std::string::npos);
    BOOST_TEST(out.find("1                       voter                   5\n") != std::string::npos);
}

//==============================================================================
BOOST_AUTO_TEST_CASE(logVerificationDoesNotChangeTheLog)
{
    std::string folder = file("log");
    {
        auto log = WriteAheadLog::open(FileSystem::system(), folder, {});
        BOOST_REQUIRE(log);
        // A torn batch is lost as a whole, so each record is written in a separate batch.
        for (std::uint64_t i = 1; i <= 3; ++i) {
            BOOST_REQUIRE((*log)->append({ LogIndex(i), std::string(100, 'x') }));
            BOOST_REQUIRE((*log)->sync());
        }
    }
    BOOST_TEST(run({ "log", "verify", folder }).out == "3 records, 1 to 3, none damaged\n");
    std::filesystem::path segment = std::filesystem::directory_iterator(folder)->path();
    auto size = std::filesystem::file_size(segment);
    std::filesystem::resize_file(segment, size - 1);
    Outcome torn = run({ "log", "verify", folder });
    BOOST_TEST(torn.exitCode == 0);
    BOOST_TEST(torn.out.starts_with("2 records, 1 to 2, none damaged\n" + segment.string() + ": torn after byte "));
    BOOST_TEST(std::filesystem::file_size(segment) == size - 1);

    std::fstream bytes(segment, std::ios::in | std::ios::out | std::ios::binary);
    bytes.seekp(static_cast<std::streamoff>(size / 3));
    bytes.put('y');
    bytes.close();
    Outcome damaged = run({ "log", "verify", folder });
    BOOST_TEST(damaged.exitCode == 1);
    BOOST_TEST(damaged.err.find(segment.filename().string()) != std::string::npos);
    BOOST_TEST(run({ "log", "verify", file("none") }).exitCode == 2);
}

BOOST_AUTO_TEST_CASE(aRequestsTimelineIsMergedFromSeveralLogsInOrder)
{
    writeFile(path / "gateway.log",
        R"({"time":"2026-05-19T20:39:45.396Z","severity":"info","event":"2001","name":"gateway.refused","request":"r1","model":"m1","status":"503","reason":"no server holds it","waited_ms":"401"})"
        "\n"
        R"({"time":"2026-05-19T20:39:45.295Z","severity":"info","event":"2002","name":"gateway.attempt_failed","request":"r1","server":"s1","outcome":"not-sent"})"
        "\n"
        R"({"time":"2026-05-19T20:39:45.300Z","severity":"info","event":"2000","name":"gateway.answered","request":"r2","model":"m1","server":"s1"})"
        "\n");
    writeFile(path / "coordinator.log",
        R"(host-3 | {"time":"2026-05-19T20:39:44.000Z","severity":"info","event":"2106","name":"coordinator.order","server":"s9","operation":"load","model":"m1","outcome":"no-answer"})"
        "\n"
        R"({"time":"2026-05-19T20:39:44.100Z","severity":"info","event":"2106","name":"coordinator.order","server":"s9","operation":"load","model":"m2","outcome":"accepted"})"
        "\n"
        R"({"time":"2026-05-19T20:39:50.000Z","severity":"info","event":"2106","name":"coordinator.order","server":"s9","operation":"load","model":"m1","outcome":"accepted"})"
        "\nGoodbye.\n");
    Outcome outcome = run({ "explain", "r1", file("gateway.log"), file("coordinator.log") });
    BOOST_TEST(outcome.exitCode == 0);
    BOOST_TEST(outcome.out == "2026-05-19T20:39:44.000Z    (coordinator.order server=s9 operation=load model=m1 outcome=no-answer)\n"
                              "2026-05-19T20:39:45.295Z  gateway.attempt_failed server=s1 outcome=not-sent\n"
                              "2026-05-19T20:39:45.396Z  gateway.refused model=m1 status=503 reason=no server holds it waited_ms=401\n");
    BOOST_TEST(outcome.err == "1 of 7 lines hold no record in JSON and were passed over\n");
}

BOOST_AUTO_TEST_CASE(anUnknownRequestIsReported)
{
    Outcome outcome = run({ "explain", "r1" }, R"({"time":"2026-05-19T20:39:45.300Z","name":"gateway.answered","request":"r2"})"
                                               "\n");
    BOOST_TEST(outcome.exitCode == 1);
    BOOST_TEST(outcome.out == "");
    BOOST_TEST(outcome.err == "no line names the request r1\n");
    Outcome missing = run({ "explain", "r1", file("absent.log") });
    BOOST_TEST(missing.exitCode == 2);
    BOOST_TEST(missing.err.ends_with("absent.log: cannot be read\n"));
}

BOOST_AUTO_TEST_CASE(usageErrorsAreReportedAndHelpExitsWithZero)
{
    BOOST_TEST(run({ "--help" }).exitCode == 0);
    BOOST_TEST(run({ "submit", "x" }).exitCode == 2);
    BOOST_TEST(run({ "status", "--timeout=soon" }).exitCode == 2);
    BOOST_TEST(run({ "token", "hash" }, "short\n").exitCode == 2);
    BOOST_TEST(run({ "token", "hash" }, "0123456789abcdef01234567\n").out.starts_with("salt = \""));
    BOOST_TEST(Arguments::parse({ "runs", "show", "k" })->command == "runs show");
    BOOST_TEST(Arguments::parse({ "members", "add", "1", "p" })->command == "members add");
}

BOOST_AUTO_TEST_CASE(linesAreComparedByTheirLongestCommonSequence)
{
    BOOST_TEST(lineDiff("a\nb\nc\nd\n", "a\nc\nx\nd\n") == "-b\n+x\n");
    BOOST_TEST(lineDiff("", "a\n") == "+a\n");
    BOOST_TEST(lineDiff("a\n", "a\n").empty());
    BOOST_TEST(!withoutDrain("[team.a]\ndrains = []\n", "a", "e1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
