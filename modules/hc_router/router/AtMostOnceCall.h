#pragma once

#include "router/CallerRequest.h"
#include "router/RouterCore.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>

namespace hemlockchute {

/** The response to a service call's caller. */
struct ServiceAnswer {
    HttpResponse response;
    /** Set when the router itself refused the call. */
    std::optional<RefusalOutcome> refused;
};

/** A service's response reduced to what is forwarded to the caller. Thread safety: any thread. */
ServiceAnswer forwardedAnswer(const HttpResponse&, const RequestId&);
/** A refusal as the response to the caller. Thread safety: any thread. */
ServiceAnswer refusalAnswer(const Problem&, const RequestId&);

//==============================================================================
/**
    One call of a plain service that is not idempotent; claims its idempotency key when it has one.

    The call runs in a coroutine of its own: a caller's disconnect or deadline does not stop it once
    a byte may have been sent, and its outcome is still recorded. docs/design/runs.md
    gives the reasoning. Thread safety: start() and wait() on the caller's strand.

    @see RunRegistry
*/
class AtMostOnceCall : public std::enable_shared_from_this<AtMostOnceCall> {
public:
    AtMostOnceCall(std::shared_ptr<RouterCore>, ServiceCallRequest, boost::asio::any_io_executor callersExecutor);

    void start();
    /** Waits for the response to the caller, at most until its deadline. */
    boost::asio::awaitable<ServiceAnswer> wait(CallerWatch&);

private:
    enum class Stage {
        /** Nothing was sent. */
        NotSent,
        /** Another attempt holds the key; this one has sent nothing. */
        WaitingForOther,
        /** A byte may have been sent. */
        MayBeSent,
        /** The caller disconnected or was refused before anything was sent; nothing may be sent from here on. */
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
