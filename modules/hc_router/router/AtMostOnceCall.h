#pragma once

#include "router/CallerRequest.h"
#include "router/RouterCore.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>

namespace hemlockchute {

/** What the caller of a service gets. */
struct ServiceAnswer {
    HttpResponse response;
    /** Set when the response is a refusal of the router's own. */
    std::optional<RefusalOutcome> refused;
};

/** What of a service's own answer the caller gets. Thread safety: any thread. */
ServiceAnswer forwardedAnswer(const HttpResponse&, const RequestId&);
/** A refusal as an answer. Thread safety: any thread. */
ServiceAnswer refusalAnswer(const Problem&, const RequestId&);

//==============================================================================
/**
    One call of a plain service that may not be repeated, claimed by its key where it has one.

    The call goes on in a coroutine of its own: a caller who leaves or runs out of time does not
    stop it once a byte may have left, and its outcome is still recorded. docs/design-notes/runs.md
    gives the reasoning. Thread safety: start() and wait() on the caller's strand.

    @see RunRegistry
*/
class AtMostOnceCall : public std::enable_shared_from_this<AtMostOnceCall> {
public:
    AtMostOnceCall(std::shared_ptr<RouterCore>, ServiceCallRequest, boost::asio::any_io_executor callersExecutor);

    /** Begins the call. */
    void start();
    /** The answer for the caller, at the latest at its deadline. */
    boost::asio::awaitable<ServiceAnswer> wait(CallerWatch&);

private:
    enum class Stage {
        /** Nothing was sent. */
        NotSent,
        /** Another attempt holds the key; nothing was sent by this one. */
        WaitingForOther,
        /** A byte may have left. */
        MayBeSent,
        /** The caller has gone, or was refused, before anything was sent: nothing may be sent any more. */
        Abandoned
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> runKeyed();
    boost::asio::awaitable<bool> claim(AttemptId);
    boost::asio::awaitable<bool> awaitOtherAttempt();
    boost::asio::awaitable<void> runClaimed(AttemptId);
    boost::asio::awaitable<void> runUnkeyed();
    boost::asio::awaitable<Result<HttpResponse, BackendErrorCode>> sendToOneServer(AttemptId);
    boost::asio::awaitable<void> record(AttemptId, HttpResponse);
    boost::asio::awaitable<void> proposeUntilAccepted(CommandBody);
    boost::asio::awaitable<void> pause(Duration);

    bool moveTo(Stage);
    bool isAbandoned();
    void answer(ServiceAnswer);
    void answerFirstRun(const HttpResponse&);
    void answerRecordedRun(const RunAnswer&);
    void refuse(unsigned status, RefusalOutcome, std::string detail);
    void refuseWithUnknownOutcome(const Error<BackendErrorCode>&);
    void proposeInBackground(CommandBody);
    ServiceAnswer answerAtDeadline();
    ServiceAnswer refusal(unsigned status, RefusalOutcome, std::string detail);

    std::shared_ptr<RouterCore> m_core;
    ServiceCallRequest m_call;
    boost::asio::steady_timer m_deadlineTimer;
    std::mutex m_lock;
    Stage m_stage = Stage::NotSent;
    std::optional<ServiceAnswer> m_answer;
};

} // namespace hemlockchute
