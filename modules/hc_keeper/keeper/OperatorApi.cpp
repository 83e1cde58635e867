#include "keeper/OperatorApi.h"

#include "hemlockchute/core/EventLog.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url/pct_string_view.hpp>
#include <charconv>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view runsPath = "/v1/runs/";
constexpr std::size_t maximumSubmitIdLength = 200;
constexpr std::size_t maximumKeyLength = 200;

HttpResponse problem(unsigned status, std::string_view title, std::string_view detail)
{
    HttpResponse response = HttpResponse::json(status, problemJson(status, title, detail));
    response.headers.set("Content-Type", "application/problem+json");
    if (status == 503)
        response.headers.set("Retry-After", "1");
    return response;
}

HttpResponse unavailable(const Error<KeeperClientErrorCode>& error)
{
    if (error.code == KeeperClientErrorCode::NotAccepted)
        return problem(503, "No quorum", "nothing was changed: " + error.detail);
    return problem(503, "Outcome unknown", "the change may yet be agreed on; ask again with the same submit id: " + error.detail);
}

HttpResponse methodNotAllowed(std::string_view allowed)
{
    HttpResponse response = problem(405, "Method not allowed", "only " + std::string(allowed) + " is served here");
    response.headers.set("Allow", std::string(allowed));
    return response;
}

HttpResponse unauthorised()
{
    HttpResponse response = problem(401, "Unauthorised", "the request carries no known token");
    response.headers.set("WWW-Authenticate", "Bearer");
    return response;
}

unsigned statusOf(SubmitAnswer::Verdict verdict)
{
    constexpr unsigned statuses[] = { 200, 409, 422, 403 };
    return statuses[static_cast<std::size_t>(verdict)];
}

std::optional<std::uint64_t> parseVersion(const std::optional<std::string>& text)
{
    std::uint64_t version = 0;
    if (!text)
        return {};
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), version);
    if (error != std::errc() || end != text->data() + text->size())
        return {};
    return version;
}

/** Reads a submission from a request; the error is the detail of the refusal. */
tl::expected<SubmitDocument, std::string> readSubmission(const HttpRequest& request, const Submitter& submitter)
{
    auto base = parseVersion(request.queryParameter("base"));
    if (!base)
        return tl::unexpected<std::string>("base must be the version that the document was made from");
    std::string id = request.queryParameter("submit_id").value_or("");
    if (id.empty() || id.size() > maximumSubmitIdLength)
        return tl::unexpected<std::string>("submit_id must have 1 to 200 characters");
    return SubmitDocument { SubmitId(id), submitter, DocumentVersion(*base), request.body };
}

std::optional<IdempotencyKey> readKey(const HttpRequest& request)
{
    std::string path = request.path().substr(runsPath.size());
    auto encoded = boost::urls::make_pct_string_view(path);
    if (!encoded)
        return {};
    std::string key = encoded->decode();
    if (key.empty() || key.size() > maximumKeyLength)
        return {};
    return IdempotencyKey(std::move(key));
}

std::string nameOf(const Submitter& submitter)
{
    return submitter.isAdministrator ? "administrator" : submitter.team.text();
}

void logSubmission(const SubmitDocument& command, const SubmitAnswer& answer)
{
    logEvent(EventId::OperatorSubmitted, { { "by", nameOf(command.submitter) }, { "submit_id", command.submitId }, { "base", command.base }, { "status", statusOf(answer.verdict) }, { "version", answer.version } });
}

void logRefusal(const HttpRequest& request)
{
    logEvent(EventId::OperatorRefused, { { "method", request.method }, { "path", request.path() } });
}

void logMemberChange(const MemberChange& change, const Submitter& caller, const std::string& outcome)
{
    std::string removed = change.remove ? std::to_string(change.remove->value()) : "none";
    std::string added = change.add ? std::to_string(change.add->id.value()) : "none";
    logEvent(EventId::OperatorChangedMembers, { { "by", nameOf(caller) }, { "removed", removed }, { "added", added }, { "outcome", outcome } });
}

bool isEverywhere(const InForceReport& report)
{
    return std::all_of(report.begin(), report.end(), [](const auto& entry) { return entry.second; });
}

} // namespace

OperatorApi::Options OperatorApi::Options::withProposeTimeout(Duration timeout) const
{
    Options options = *this;
    options.proposeTimeout = timeout;
    return options;
}

OperatorApi::Options OperatorApi::Options::withInForceTimeout(Duration timeout) const
{
    Options options = *this;
    options.inForceTimeout = timeout;
    return options;
}

//==============================================================================
const OperatorApi::Route OperatorApi::routes[] = {
    { "POST", "/v1/document", false, false, &OperatorApi::submit },
    { "GET", "/v1/document", false, false, &OperatorApi::showDocument },
    { "GET", "/v1/status", false, false, &OperatorApi::showStatus },
    { "GET", runsPath, true, false, &OperatorApi::showRun },
    { "POST", "/v1/members", false, true, &OperatorApi::changeMembers },
};

OperatorApi::OperatorApi(KeeperOperations& operations, OperatorTokens tokens, std::vector<EntryHostAddress> hosts, Options options)
    : m_operations(operations)
    , m_tokens(std::move(tokens))
    , m_hosts(std::move(hosts))
    , m_options(options)
{
}

void OperatorApi::replaceTokens(OperatorTokens tokens)
{
    std::lock_guard guard(m_lock);
    m_tokens = std::move(tokens);
}

std::optional<Submitter> OperatorApi::identify(const HttpRequest& request) const
{
    std::string value = request.headers.find("Authorization").value_or("");
    if (!value.starts_with(bearer))
        return {};
    std::lock_guard guard(m_lock);
    return m_tokens.identify(std::string_view(value).substr(bearer.size()));
}

asio::awaitable<void> OperatorApi::handle(HttpExchange& exchange)
{
    HttpResponse response = co_await answer(exchange.request());
    co_await exchange.respond(std::move(response));
}

asio::awaitable<HttpResponse> OperatorApi::answer(const HttpRequest& request)
{
    std::string path = request.path();
    if (path == "/healthz" || path == "/readyz")
        co_return answerHealth(request);
    auto caller = identify(request);
    if (!caller) {
        logRefusal(request);
        co_return unauthorised();
    }
    const Route* chosen = nullptr;
    std::string allowed;
    for (const Route& route : routes) {
        bool matches = route.isPrefix ? path.starts_with(route.path) : path == route.path;
        if (!matches)
            continue;
        allowed += (allowed.empty() ? "" : ", ") + std::string(route.method);
        if (route.method == request.method)
            chosen = &route;
    }
    if (!chosen)
        co_return allowed.empty() ? problem(404, "Not found", "there is nothing at this path") : methodNotAllowed(allowed);
    if (chosen->isForAdministrators && !caller->isAdministrator)
        co_return problem(403, "Forbidden", "only the administrator's token may do this");
    Call call { request, *caller };
    HttpResponse response = co_await (this->*chosen->handler)(call);
    co_return response;
}

HttpResponse OperatorApi::answerHealth(const HttpRequest& request) const
{
    if (request.path() == "/healthz")
        return HttpResponse::text(200, "ok\n");
    bool isReady = m_operations.status().leader.has_value();
    return isReady ? HttpResponse::text(200, "ready\n") : HttpResponse::text(503, "no leader is known\n");
}

//==============================================================================
asio::awaitable<HttpResponse> OperatorApi::submit(const Call& call)
{
    auto submission = readSubmission(call.request, call.caller);
    if (!submission)
        co_return problem(400, "Bad request", submission.error());
    auto result = co_await m_operations.propose(CommandBody(*submission), m_options.proposeTimeout);
    if (!result)
        co_return unavailable(result.error());
    const auto* verdict = std::get_if<SubmitAnswer>(&*result);
    if (!verdict)
        co_return problem(500, "Internal error", "the keepers gave an answer of another kind");
    logSubmission(*submission, *verdict);
    InForceReport report;
    if (verdict->verdict == SubmitAnswer::Verdict::Accepted)
        report = co_await waitUntilInForce(verdict->version);
    co_return HttpResponse::json(statusOf(verdict->verdict), submitAnswerJson(*verdict, report));
}

asio::awaitable<InForceReport> OperatorApi::waitUntilInForce(DocumentVersion version)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    Instant deadline = std::chrono::steady_clock::now() + m_options.inForceTimeout;
    InForceReport report = inForceReport(m_operations.status(), m_hosts, version);
    while (!isEverywhere(report) && std::chrono::steady_clock::now() < deadline) {
        timer.expires_after(m_options.inForcePollInterval);
        co_await timer.async_wait(asio::use_awaitable);
        report = inForceReport(m_operations.status(), m_hosts, version);
    }
    co_return report;
}

asio::awaitable<HttpResponse> OperatorApi::showDocument(const Call&)
{
    DocumentPointer document = m_operations.documents().current();
    HttpResponse response = HttpResponse::text(200, documentText(document->sections));
    response.headers.set("Content-Type", "application/toml");
    response.headers.set("X-Document-Version", std::to_string(document->version.value()));
    co_return response;
}

asio::awaitable<HttpResponse> OperatorApi::showStatus(const Call&)
{
    co_return HttpResponse::json(200, statusJson(m_operations.status(), m_hosts));
}

asio::awaitable<HttpResponse> OperatorApi::showRun(const Call& call)
{
    auto key = readKey(call.request);
    if (!key)
        co_return problem(400, "Bad request", "the key must have 1 to 200 characters");
    auto run = co_await m_operations.readRun(*key, m_options.proposeTimeout);
    if (!run)
        co_return problem(503, "No quorum", run.error().detail);
    unsigned status = run->state == RunAnswer::State::None ? 404 : 200;
    co_return HttpResponse::json(status, runJson(*key, *run));
}

asio::awaitable<HttpResponse> OperatorApi::changeMembers(const Call& call)
{
    auto change = parseMemberChange(call.request.body);
    if (!change)
        co_return problem(400, "Bad request", change.error());
    auto result = co_await m_operations.changeMembers(change->remove, change->add, m_options.memberChangeTimeout);
    logMemberChange(*change, call.caller, result ? "done" : result.error().detail);
    if (result)
        co_return HttpResponse::json(200, "{\"done\":true}");
    bool isRefused = result.error().code == AgreementErrorCode::ChangeRefused;
    co_return problem(isRefused ? 409 : 503, isRefused ? "Refused" : "Not done", result.error().detail);
}

} // namespace hemlockchute
