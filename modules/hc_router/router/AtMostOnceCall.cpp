#include "router/AtMostOnceCall.h"

#include "hemlockchute/core/EventLog.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr unsigned statusConflict = 409;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 504;
constexpr Duration claimTimeout = 3s;
constexpr Duration voidTimeout = 1s;
constexpr Duration recordTimeout = 2s;
constexpr Duration readTimeout = 1s;
/** Time after its service's timeout during which a call's outcome may still be recorded. */
constexpr Duration recordMargin = 2min;
constexpr Duration initialBackoff = 10ms;
constexpr Duration maximumBackoff = 200ms;
constexpr Duration maximumBackgroundBackoff = 5s;
/** Background attempts to complete a run record; after them the record stays until its retention ends. */
constexpr unsigned maximumBackgroundAttempts = 200;
/** A run record of a longer answer omits the body. */
constexpr std::size_t maximumRecordedBodyBytes = 64U << 10U;

Digest digestOf(const HttpRequest& request)
{
    return Digest::of(request.method + '\n' + request.target + '\n' + request.body);
}

ClaimRun claimOf(const ServiceCallRequest& call, const AttemptId& attempt)
{
    ClaimRun claim;
    claim.key = *call.key;
    claim.attempt = attempt;
    claim.service = call.service.name;
    claim.request = digestOf(call.request);
    claim.outcomeTimeout = call.service.timeout + recordMargin;
    return claim;
}

RecordOutcome outcomeOf(const ServiceCallRequest& call, const AttemptId& attempt, const HttpResponse& response)
{
    RecordOutcome outcome;
    outcome.key = *call.key;
    outcome.attempt = attempt;
    outcome.status = response.status;
    outcome.contentType = response.headers.find("Content-Type").value_or("");
    outcome.bodyTooLong = response.body.size() > maximumRecordedBodyBytes;
    if (!outcome.bodyTooLong)
        outcome.body = response.body;
    return outcome;
}

VoidRun voidOf(const ServiceCallRequest& call, const AttemptId& attempt)
{
    VoidRun command;
    command.key = *call.key;
    command.attempt = attempt;
    return command;
}

AbandonRun abandonOf(const ServiceCallRequest& call, const AttemptId& attempt)
{
    AbandonRun command;
    command.key = *call.key;
    command.attempt = attempt;
    return command;
}

} // namespace

ServiceAnswer forwardedAnswer(const HttpResponse& response, const RequestId& request)
{
    ServiceAnswer passed;
    passed.response.status = response.status;
    for (const char* name : { "Content-Type", "Retry-After" }) {
        if (auto value = response.headers.find(name))
            passed.response.headers.set(name, *value);
    }
    passed.response.headers.set("X-Request-Id", request.text());
    passed.response.body = response.body;
    return passed;
}

ServiceAnswer refusalAnswer(const Problem& problem, const RequestId& request)
{
    return { problemResponse(problem, request), problem.outcome };
}

//==============================================================================
AtMostOnceCall::AtMostOnceCall(std::shared_ptr<RouterCore> core, ServiceCallRequest call, asio::any_io_executor callersExecutor)
    : m_core(std::move(core))
    , m_call(std::move(call))
    , m_deadlineTimer(callersExecutor)
{
}

void AtMostOnceCall::start()
{
    m_core->spawn([self = shared_from_this()] { return self->run(); });
}

asio::awaitable<ServiceAnswer> AtMostOnceCall::wait(CallerWatch& watch)
{
    m_deadlineTimer.expires_at(m_call.parameters.deadline);
    watch.onCallerDisconnect([this] {
        moveTo(Stage::Abandoned);
        m_deadlineTimer.cancel();
    });
    bool isAnswered = false;
    {
        std::lock_guard guard(m_lock);
        isAnswered = m_answer.has_value() || watch.isCallerDisconnected();
    }
    boost::system::error_code ignored;
    if (!isAnswered)
        co_await m_deadlineTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    watch.clear();
    co_return answerAtDeadline();
}

//==============================================================================
asio::awaitable<void> AtMostOnceCall::run()
{
    if (m_call.key)
        co_await runKeyed();
    else
        co_await runUnkeyed();
}

asio::awaitable<void> AtMostOnceCall::runKeyed()
{
    bool mayClaim = true;
    while (mayClaim) {
        AttemptId attempt = m_core->makeAttemptId();
        bool isClaimed = co_await claim(attempt);
        if (isClaimed) {
            co_await runClaimed(attempt);
            co_return;
        }
        bool waits = moveTo(Stage::WaitingForOther);
        mayClaim = false;
        if (waits)
            mayClaim = co_await awaitOtherAttempt();
        bool mayGoOn = mayClaim && moveTo(Stage::NotSent);
        mayClaim = mayGoOn;
    }
}

/** True when this attempt holds the key; otherwise the caller was answered or another attempt holds it. */
asio::awaitable<bool> AtMostOnceCall::claim(AttemptId attempt)
{
    auto claimed = co_await m_core->runs().propose(claimOf(m_call, attempt), claimTimeout);
    if (!claimed) {
        // The claim may still commit. Nothing was or will be sent under it, so it is voided.
        if (claimed.error().code == KeeperClientErrorCode::Unknown)
            proposeInBackground(voidOf(m_call, attempt));
        refuse(statusUnavailable, RefusalOutcome::NotRun, "no quorum of keepers: " + claimed.error().detail);
        moveTo(Stage::Abandoned);
        co_return false;
    }
    switch (claimed->state) {
    case RunAnswer::State::Claimed:
        co_return true;
    case RunAnswer::State::Done:
    case RunAnswer::State::OutcomeUnknown:
    case RunAnswer::State::KeyConflict:
        answerRecordedRun(*claimed);
        moveTo(Stage::Abandoned);
        break;
    case RunAnswer::State::InProgress:
    case RunAnswer::State::Void:
    case RunAnswer::State::None:
        break;
    }
    co_return false;
}

/** Waits for the attempt that holds the key; true when the key is free again. */
asio::awaitable<bool> AtMostOnceCall::awaitOtherAttempt()
{
    Duration wait = initialBackoff;
    while (currentTime() < m_call.parameters.deadline) {
        auto run = co_await m_core->runs().readRun(*m_call.key, readTimeout);
        bool isFree = run && (run->state == RunAnswer::State::Void || run->state == RunAnswer::State::None);
        if (isFree)
            co_return true;
        bool isSettled = run && run->state != RunAnswer::State::InProgress && run->state != RunAnswer::State::Claimed;
        if (isSettled) {
            answerRecordedRun(*run);
            co_return false;
        }
        bool abandoned = isAbandoned();
        if (abandoned)
            co_return false;
        co_await pause(wait);
        wait = std::min(wait * 2, maximumBackoff);
    }
    refuse(statusTimeout, RefusalOutcome::Unknown, "another attempt under the same key is still in progress");
    co_return false;
}

asio::awaitable<void> AtMostOnceCall::runClaimed(AttemptId attempt)
{
    auto response = co_await sendToOneServer(attempt);
    if (response) {
        co_await record(attempt, std::move(*response));
        co_return;
    }
    bool notSent = response.error().code == BackendErrorCode::NotSent;
    if (notSent) {
        auto voided = co_await m_core->runs().propose(voidOf(m_call, attempt), voidTimeout);
        refuse(statusUnavailable, RefusalOutcome::NotRun, response.error().detail);
        if (!voided)
            proposeInBackground(voidOf(m_call, attempt));
        co_return;
    }
    refuseWithUnknownOutcome(response.error());
    co_await proposeUntilAccepted(abandonOf(m_call, attempt));
}

asio::awaitable<void> AtMostOnceCall::runUnkeyed()
{
    auto response = co_await sendToOneServer(m_core->makeAttemptId());
    if (response)
        answerFirstRun(*response);
    else if (response.error().code == BackendErrorCode::NotSent)
        refuse(statusUnavailable, RefusalOutcome::NotRun, response.error().detail);
    else
        refuseWithUnknownOutcome(response.error());
}

/** Sends the call to one server, and to another only when no byte can have been sent. */
asio::awaitable<Result<HttpResponse, BackendErrorCode>> AtMostOnceCall::sendToOneServer(AttemptId attempt)
{
    std::set<BackendServerName> tried;
    Result<HttpResponse, BackendErrorCode> response = failure(BackendErrorCode::NotSent, "no backend server of the service is live");
    while (true) {
        std::uint64_t random = m_core->dispatcher().random();
        auto server = m_core->dispatcher().withTable([&](DispatchTable& table) { return table.assignService(m_call.service.name, tried, currentTime(), random); });
        if (!server)
            co_return response;
        bool isNew = tried.insert(server->name).second;
        auto protocol = m_core->protocol(server->protocol);
        bool maySend = isNew && protocol && moveTo(Stage::MayBeSent);
        if (!maySend) {
            m_core->dispatcher().withTable([&](DispatchTable& table) { table.recordAttemptOutcome(server->name, AttemptOutcome::Unused, currentTime()); });
            co_return response;
        }
        ++m_core->counters().attempts;
        ServiceRequest request { attempt, m_call.request, true };
        response = co_await protocol->callService(*server, std::move(request), currentTime() + m_call.service.timeout);
        AttemptOutcome end = response ? AttemptOutcome::Answered : AttemptOutcome::Failed;
        m_core->dispatcher().withTable([&](DispatchTable& table) { table.recordAttemptOutcome(server->name, end, currentTime()); });
        bool mayTryAnother = !response && response.error().code == BackendErrorCode::NotSent && moveTo(Stage::NotSent);
        if (!mayTryAnother)
            co_return response;
        ++m_core->counters().attemptsFailed;
    }
}

asio::awaitable<void> AtMostOnceCall::record(AttemptId attempt, HttpResponse response)
{
    RecordOutcome outcome = outcomeOf(m_call, attempt, response);
    auto recorded = co_await m_core->runs().propose(outcome, recordTimeout);
    answerFirstRun(response);
    if (recorded)
        ++m_core->counters().runsRecorded;
    else
        co_await proposeUntilAccepted(std::move(outcome));
}

asio::awaitable<void> AtMostOnceCall::proposeUntilAccepted(CommandBody command)
{
    Duration wait = initialBackoff;
    for (unsigned i = 0; i < maximumBackgroundAttempts; ++i) {
        auto accepted = co_await m_core->runs().propose(command, recordTimeout);
        if (accepted || m_core->isStopping())
            co_return;
        if (i == 0)
            logEvent(EventId::RouterClaimNotVoided, { { "key", m_call.key->text() }, { "reason", accepted.error().detail } });
        co_await pause(wait);
        wait = std::min(wait * 2, maximumBackgroundBackoff);
    }
}

asio::awaitable<void> AtMostOnceCall::pause(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

//==============================================================================
/** Changes the stage; false when the call is already abandoned, or is to be abandoned after a byte may have been sent. */
bool AtMostOnceCall::moveTo(Stage stage)
{
    std::lock_guard guard(m_lock);
    bool mayAbandon = m_stage == Stage::NotSent || m_stage == Stage::WaitingForOther;
    if (m_stage == Stage::Abandoned || (stage == Stage::Abandoned && !mayAbandon))
        return false;
    m_stage = stage;
    return true;
}

bool AtMostOnceCall::isAbandoned()
{
    std::lock_guard guard(m_lock);
    return m_stage == Stage::Abandoned;
}

void AtMostOnceCall::answer(ServiceAnswer response)
{
    {
        std::lock_guard guard(m_lock);
        if (m_answer)
            return;
        m_answer = std::move(response);
    }
    asio::post(m_deadlineTimer.get_executor(), [self = shared_from_this()] { self->m_deadlineTimer.cancel(); });
}

void AtMostOnceCall::answerFirstRun(const HttpResponse& response)
{
    ServiceAnswer first = forwardedAnswer(response, m_call.parameters.request);
    first.response.headers.set("X-Run", "first");
    answer(std::move(first));
}

void AtMostOnceCall::answerRecordedRun(const RunAnswer& run)
{
    if (run.state == RunAnswer::State::KeyConflict)
        return refuse(statusConflict, RefusalOutcome::NotRun, "the key was used for another request");
    if (run.state == RunAnswer::State::OutcomeUnknown)
        return refuse(statusBadGateway, RefusalOutcome::Unknown, "an earlier attempt may have run; its outcome is not known");
    HttpResponse response;
    response.status = run.status;
    if (!run.contentType.empty())
        response.headers.set("Content-Type", run.contentType);
    response.body = run.body;
    ServiceAnswer recorded = forwardedAnswer(response, m_call.parameters.request);
    recorded.response.headers.set("X-Run", "recorded");
    answer(std::move(recorded));
}

void AtMostOnceCall::refuse(unsigned status, RefusalOutcome outcome, std::string detail)
{
    answer(refusal(status, outcome, std::move(detail)));
}

void AtMostOnceCall::refuseWithUnknownOutcome(const Error<BackendErrorCode>& error)
{
    ++m_core->counters().attemptsFailed;
    logEvent(EventId::RouterRunUnknown, { { "request", m_call.parameters.request.text() }, { "service", m_call.service.name.text() }, { "reason", error.detail } });
    unsigned status = error.code == BackendErrorCode::TimedOut ? statusTimeout : statusBadGateway;
    refuse(status, RefusalOutcome::Unknown, error.detail);
}

/** Repeats a command about the run without delaying the answer to the caller. */
void AtMostOnceCall::proposeInBackground(CommandBody command)
{
    m_core->spawn([self = shared_from_this(), command = std::move(command)] { return self->proposeUntilAccepted(command); });
}

ServiceAnswer AtMostOnceCall::answerAtDeadline()
{
    std::lock_guard guard(m_lock);
    if (m_answer)
        return *m_answer;
    bool nothingSent = m_stage == Stage::NotSent;
    if (nothingSent)
        m_stage = Stage::Abandoned;
    return refusal(statusTimeout, nothingSent ? RefusalOutcome::NotRun : RefusalOutcome::Unknown, "no answer by the deadline");
}

ServiceAnswer AtMostOnceCall::refusal(unsigned status, RefusalOutcome outcome, std::string detail)
{
    Problem problem;
    problem.status = status;
    problem.outcome = outcome;
    problem.detail = std::move(detail);
    return refusalAnswer(problem, m_call.parameters.request);
}

} // namespace hemlockchute
