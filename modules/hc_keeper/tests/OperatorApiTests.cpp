#include "hemlockchute/http/http.h"
#include "hemlockchute/state/StateMachine.h"
#include "keeper/OperatorApi.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace hemlockchute;
namespace asio = boost::asio;

namespace {

const std::string administratorToken = "administrator-0123456789abcdef";
const std::string counterToken = "counter-0123456789abcdef0123";
const Endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

/** A cluster of one keeper, without disk or network. */
class FakeOperations : public KeeperOperations {
public:
    explicit FakeOperations(asio::io_context& context)
        : m_documents(context)
    {
        m_status.leader = KeeperId(1);
        m_status.self = KeeperId(1);
    }

    asio::awaitable<Result<Answer, KeeperClientErrorCode>> propose(CommandBody body, Duration) override
    {
        std::lock_guard guard(m_lock);
        if (m_error)
            co_return tl::unexpected(*m_error);
        Command command;
        command.body = std::move(body);
        Answer answer = m_state.apply(m_state.lastApplied().next(), command);
        m_documents.offer(m_state.document());
        m_status.version = m_state.document()->version;
        for (const HostName& host : m_followers)
            m_status.inForce[host] = m_status.version;
        co_return answer;
    }

    asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey key, Duration) override
    {
        std::lock_guard guard(m_lock);
        co_return m_state.run(key);
    }

    DocumentSource& documents() override { return m_documents; }

    SystemStatus status() const override
    {
        std::lock_guard guard(m_lock);
        return m_status;
    }

    asio::awaitable<Result<void, AgreementErrorCode>> changeMembers(std::optional<KeeperId> remove, std::optional<KeeperAddress> add, Duration) override
    {
        std::lock_guard guard(m_lock);
        removed = remove;
        added = add;
        if (remove == KeeperId(9))
            co_return failure(AgreementErrorCode::ChangeRefused, "there is no keeper 9");
        co_return Result<void, AgreementErrorCode>();
    }

    void failWith(KeeperClientErrorCode code) { m_error = Error<KeeperClientErrorCode> { code, "no keeper answers" }; }
    /** Hosts that put each document in force at once. */
    void follow(const std::vector<std::string>& hosts)
    {
        for (const std::string& host : hosts) {
            m_followers.insert(HostName(host));
            m_status.inForce[HostName(host)] = DocumentVersion();
        }
    }
    /** A host that reports but keeps an old version. */
    void lag(const std::string& host) { m_status.inForce[HostName(host)] = DocumentVersion(); }

    std::optional<KeeperId> removed;
    std::optional<KeeperAddress> added;

private:
    mutable std::mutex m_lock;
    StateMachine m_state { StateMachine::Options() };
    DocumentSource m_documents;
    SystemStatus m_status;
    std::set<HostName> m_followers;
    std::optional<Error<KeeperClientErrorCode>> m_error;
};

OperatorTokens tokens()
{
    OperatorTokens all;
    all.add({ {}, true }, TokenHash::of(administratorToken));
    all.add({ TeamName("counter"), false }, TokenHash::of(counterToken));
    return all;
}

std::vector<EntryHostAddress> entryHosts()
{
    return { { HostName("t1"), DataCentreName("tallinn"), {}, {} }, { HostName("t2"), DataCentreName("tallinn"), {}, {} }, { HostName("u1"), DataCentreName("tartu"), {}, {} } };
}

struct Fixture {
    Fixture()
        : operations(context)
        , api(operations, tokens(), entryHosts(), OperatorApi::Options().withInForceTimeout(50ms))
        , server(context, HttpServer::Options(), [this](HttpExchange& exchange) { return api.handle(exchange); })
        , client(HttpClient::Options())
        , work(asio::make_work_guard(context))
        , thread([this] { context.run(); })
    {
        endpoint = server.listen(anyPort).value();
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    HttpResponse send(const std::string& method, const std::string& target, const ByteString& body = "", const std::string& token = administratorToken)
    {
        HttpRequest request { method, target, {}, body };
        if (!token.empty())
            request.headers.set("Authorization", "Bearer " + token);
        auto deadline = std::chrono::steady_clock::now() + 20s;
        return asio::co_spawn(asio::make_strand(context), client.send(endpoint, std::move(request), deadline), asio::use_future).get().value();
    }

    asio::io_context context;
    FakeOperations operations;
    OperatorApi api;
    HttpServer server;
    HttpClient client;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
    Endpoint endpoint;
};

const std::string counterSection = "[[team.counter.models]]\nname = \"m\"\nmemory = \"1GiB\"\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(OperatorApiTests, Fixture)

BOOST_AUTO_TEST_CASE(anAcceptedDocumentIsReportedByDataCentre)
{
    operations.follow({ "t1", "t2" });
    operations.lag("u1");
    HttpResponse accepted = send("POST", "/v1/document?base=0&submit_id=1", counterSection);
    BOOST_TEST(accepted.status == 200U);
    BOOST_TEST(accepted.body == "{\"verdict\":\"accepted\",\"version\":1,\"in_force\":{\"tallinn\":true,\"tartu\":false}}");
    HttpResponse document = send("GET", "/v1/document");
    BOOST_TEST(document.body == counterSection);
    BOOST_TEST(document.headers.find("X-Document-Version").value() == "1");
    BOOST_TEST(send("POST", "/v1/document?base=0&submit_id=2", "").body == "{\"verdict\":\"conflict\",\"version\":1}");
    BOOST_TEST(send("POST", "/v1/document?base=0&submit_id=1", counterSection).status == 200U);
}

BOOST_AUTO_TEST_CASE(faultsAndForbiddenSectionsAreListed)
{
    HttpResponse rejected = send("POST", "/v1/document?base=0&submit_id=1", "[team.counter]\nx = 1\n");
    BOOST_TEST(rejected.status == 422U);
    BOOST_TEST(rejected.body == "{\"verdict\":\"rejected\",\"version\":0,\"faults\":[{\"line\":2,\"team\":\"counter\",\"what\":\"x: is not a known key\"}]}");
    HttpResponse forbidden = send("POST", "/v1/document?base=0&submit_id=2", "[team.office]\n", counterToken);
    BOOST_TEST(forbidden.status == 403U);
    BOOST_TEST(send("POST", "/v1/document?base=0&submit_id=3", counterSection, counterToken).status == 200U);
}

BOOST_AUTO_TEST_CASE(onlyKnownTokensAreServed)
{
    for (const std::string& token : { std::string(), std::string("counter"), counterToken + "x" }) {
        HttpResponse refused = send("GET", "/v1/status", "", token);
        BOOST_TEST(refused.status == 401U);
        BOOST_TEST(refused.headers.find("WWW-Authenticate").value() == "Bearer");
    }
    BOOST_TEST(send("POST", "/v1/members", "{}", counterToken).status == 403U);
    BOOST_TEST(send("GET", "/healthz", "", "").status == 200U);
    BOOST_TEST(send("GET", "/readyz", "", "").status == 200U);
    api.replaceTokens({});
    BOOST_TEST(send("GET", "/v1/status").status == 401U);
}

BOOST_AUTO_TEST_CASE(badRequestsAreRefusedClearly)
{
    BOOST_TEST(send("POST", "/v1/document?submit_id=1", "").status == 400U);
    BOOST_TEST(send("POST", "/v1/document?base=-1&submit_id=1", "").status == 400U);
    BOOST_TEST(send("POST", "/v1/document?base=0", "").status == 400U);
    BOOST_TEST(send("GET", "/v1/runs/").status == 400U);
    BOOST_TEST(send("GET", "/v1/runs/%zz").status >= 400U);
    BOOST_TEST(send("GET", "/v1/nothing").status == 404U);
    HttpResponse wrongMethod = send("PUT", "/v1/document", "");
    BOOST_TEST(wrongMethod.status == 405U);
    BOOST_TEST(wrongMethod.headers.find("Allow").value() == "POST, GET");
    for (const char* body : { "", "[]", "{\"action\":\"drop\",\"keeper\":1}", "{\"action\":\"add\",\"keeper\":0}", "{\"action\":\"add\",\"keeper\":1,\"peer\":\"x\"}" })
        BOOST_TEST(send("POST", "/v1/members", body).status == 400U);
    BOOST_TEST(send("POST", "/v1/members", std::string(40000, '[')).status == 400U);
}

BOOST_AUTO_TEST_CASE(submissionWithoutAQuorumReportsWhetherItTookEffect)
{
    operations.failWith(KeeperClientErrorCode::NotAccepted);
    HttpResponse refused = send("POST", "/v1/document?base=0&submit_id=1", counterSection);
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(refused.headers.find("Retry-After").value() == "1");
    BOOST_TEST(refused.body.find("nothing was changed") != std::string::npos);
    operations.failWith(KeeperClientErrorCode::Unknown);
    BOOST_TEST(send("POST", "/v1/document?base=0&submit_id=1", counterSection).body.find("same submit id") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(membersAreAddedRemovedAndReplaced)
{
    BOOST_TEST(send("POST", "/v1/members", "{\"action\":\"replace\",\"keeper\":4,\"peer\":\"127.0.3.1:7103\",\"host\":\"t2\"}").status == 200U);
    BOOST_TEST((operations.removed == KeeperId(4) && operations.added->id == KeeperId(4)));
    BOOST_TEST(operations.added->host == HostName("t2"));
    BOOST_TEST(send("POST", "/v1/members", "{\"action\":\"remove\",\"keeper\":9}").status == 409U);
    BOOST_TEST(!operations.added.has_value());
}

BOOST_AUTO_TEST_CASE(runRecordsAndStatusAreShown)
{
    BOOST_TEST(send("GET", "/v1/runs/none").status == 404U);
    auto propose = [&](CommandBody body) { asio::co_spawn(context, operations.propose(std::move(body), 1s), asio::use_future).get(); };
    propose(ClaimRun { IdempotencyKey("a key"), AttemptId("1"), ServiceName("booking"), {} });
    BOOST_TEST(send("GET", "/v1/runs/a%20key").body == "{\"key\":\"a key\",\"state\":\"in-progress\"}");
    propose(RecordOutcome { IdempotencyKey("a key"), AttemptId("1"), 200, "text/plain", "\xff" });
    BOOST_TEST(send("GET", "/v1/runs/a%20key").body == "{\"key\":\"a key\",\"state\":\"done\",\"status\":200,\"content_type\":\"text/plain\",\"body_too_long\":false,\"body_base64\":\"/w==\"}");

    operations.follow({ "t1" });
    auto status = boost::json::parse(send("GET", "/v1/status").body).as_object();
    BOOST_TEST(status["leader"].as_int64() == 1);
    BOOST_TEST(status["hosts"].as_array().size() == 3U);
    BOOST_TEST(status["data_centres"].as_array().at(1).as_object()["in_force"].as_bool() == false);
}

//==============================================================================
BOOST_AUTO_TEST_CASE(tokensAreReadFromSettings)
{
    TokenHash hash = TokenHash::of(counterToken);
    BOOST_TEST(TokenHash::of(counterToken).salt != hash.salt);
    std::string text = "[operators]\nadmin_salt = \"" + hash.salt + "\"\nadmin_hash = \"" + hash.hash + "\"\n[[operators.teams]]\nname = \"counter\"\nsalt = \"x\"\nhash = \"y\"\n";
    SettingsFile file = SettingsFile::parse(text, "keeper.toml");
    OperatorTokens read = OperatorTokens::read(file.root().table("operators"));
    BOOST_TEST(read.identify(counterToken).value().isAdministrator);
    BOOST_TEST(!read.identify(administratorToken).has_value());
    const std::vector<std::string> expected { "keeper.toml:7: operators.teams[0].hash: is not what \"hemlockctl token hash\" prints, together with salt" };
    BOOST_TEST(file.faults() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
