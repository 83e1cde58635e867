#pragma once

#include "gateway/GatewayCore.h"
#include "hemlockchute/http/HttpServer.h"
#include "hemlockchute/http/WatchdogTimer.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hemlockchute {

//==============================================================================
/**
    Handles one request: routes it, waits for its model, forwards it and returns the response.

    A request that may have run is resent only if its route allows it. A refusal states that the
    request has not run only if no server can have run it. Thread safety: one thread.

    @see GatewayCore
*/
class RequestForwarder final : private WaitingRequest {
public:
    RequestForwarder(GatewayCore&, HttpExchange&);
    ~RequestForwarder();

    /** Handles the request until its response is complete. Call once. */
    boost::asio::awaitable<void> run();
    /** Aborts the attempt in progress, because the process exits; the caller receives the outcome as far as it is known. */
    void abort();

private:
    /** The outcome of one attempt at a server. */
    enum class Outcome {
        /** The response was sent to the caller. */
        Answered,
        /** No byte of the request can have reached the server. */
        NotSent,
        /** The server reported that it did not run the request. */
        NotRun,
        /** The request may have run, and there is no response to return. */
        Unknown,
        /** The server responded with an error, which is kept to be returned if no other server succeeds. */
        Failed,
        CallerDisconnected,
        /** The other attempt of a hedged request has answered. */
        Overtaken
    };

    /** The second attempt of a hedged request, and its answer. Its coroutine may outlive the forwarder. */
    struct Hedge {
        explicit Hedge(std::shared_ptr<BufferBudget> budget)
            : buffered(std::move(budget))
        {
        }

        void cancel()
        {
            handle->cancel();
            if (answer)
                answer->close();
        }

        ServerIncarnation first;
        ServerIncarnation server;
        Instant sent {};
        std::shared_ptr<HttpCallHandle> handle = std::make_shared<HttpCallHandle>();
        HttpResponseStream* answer = nullptr;
        /** Called with the head of the answer; the body is read if it returns true. Empty once the forwarder takes no more interest. */
        std::function<bool(HttpResponseStream&)> onHead;
        /** Called at the end, whatever it is. */
        std::function<void()> onEnd;
        bool hasHead = false;
        bool isTooLong = false;
        std::optional<Error<HttpClientErrorCode>> error;
        HttpResponse response;
        BufferReservation buffered;
        /** Set by the head of a refusal. */
        std::optional<Outcome> refusal;
        /** Set at the end; Answered if the response is complete and can be forwarded. */
        std::optional<Outcome> outcome;
    };

    /** State shared with the disconnect handler, which may outlive the forwarder. */
    struct CallState {
        std::shared_ptr<HttpCallHandle> handle = std::make_shared<HttpCallHandle>();
        HttpResponseStream* answer = nullptr;
        /** The answer of a silent server, while another server is asked to take over. */
        HttpResponseStream* silentAnswer = nullptr;
        std::shared_ptr<Hedge> hedge;
        bool isCallerDisconnected = false;
        /** Notified when the request need not wait for a server any longer. */
        AsyncConditionVariable waitEnded;

        void noteCallerDisconnect()
        {
            isCallerDisconnected = true;
            waitEnded.notifyAll();
            cancel();
        }

        void cancel()
        {
            handle->cancel();
            if (answer)
                answer->close();
            closeSilentAnswer();
            if (hedge)
                hedge->cancel();
        }

        /** False when it was closed before, or there is none. */
        bool closeSilentAnswer()
        {
            HttpResponseStream* silent = std::exchange(silentAnswer, nullptr);
            if (silent)
                silent->close();
            return silent;
        }
    };

    bool isReadyToRoute() const;
    bool outlastsProcess() const;
    boost::asio::awaitable<void> awaitReadiness();
    bool prepare();
    boost::asio::awaitable<bool> checkAccess();
    bool isAccessRevoked();
    boost::asio::awaitable<bool> admitToQuota();
    QuotaLimiter::Admission takeQuota();
    void noteQuotaSent();
    void settleQuota();
    unsigned rank() const;
    boost::asio::awaitable<void> forward();
    boost::asio::awaitable<bool> tryOnce();
    boost::asio::awaitable<Outcome> attemptAt(const BackendServerName&);
    bool checkQuarantine();
    boost::asio::awaitable<bool> awaitTrial();
    void noteBroken(const BackendServerName&);
    void noteUnanswered(const BackendServerName&);
    void noteUnanswered(const ServerIncarnation&, Instant sent);
    void noteConnectionRefused(const BackendServerName&);
    void noteAnswerBegun();
    boost::asio::awaitable<void> checkBrokenServer();
    boost::asio::awaitable<std::optional<Outcome>> moveFrom(const BackendServerName& silentServer, HttpResponseStream& silentAnswer);
    boost::asio::awaitable<std::optional<Outcome>> tryTakeover(const BackendServerName& silentServer, HttpResponseStream& silentAnswer);
    void scheduleHedge();
    void considerHedge();
    void sendHedge(const BackendServerName&);
    static boost::asio::awaitable<void> runHedge(std::shared_ptr<Hedge>, HttpClient&, Endpoint, HttpRequest, Instant deadline);
    bool noteHedgeHead(HttpResponseStream&);
    void noteHedgeEnded();
    Outcome hedgeOutcome();
    Outcome noteLostHedge();
    boost::asio::awaitable<Outcome> awaitHedge(Outcome first);
    void endHedge(std::string_view answered);
    bool isHedgeRunning() const { return m_call->hedge && !m_call->hedge->outcome; }
    bool isOvertaken() const { return m_call->hedge && m_call->hedge->outcome == Outcome::Answered; }
    void reserve(const BackendServerName&);
    void release(const BackendServerName&);
    void noteAttemptEnded(const BackendServerName&);
    void leaveSilentServer();
    std::optional<BackendServerName> takeSuccessor();
    void releaseSuccessor();
    boost::asio::awaitable<std::optional<BackendServerName>> awaitServer();
    std::optional<BackendServerName> pickServer();
    void noteSelection(ServerSelection);
    WaitingTerms waitingTerms() const;
    void enterQueue();
    void distributeForModel();
    void distributeIfDue(Instant now);
    void distributePlaceAt(const BackendServerName&);
    std::optional<BackendServerName> takeReserved();
    bool canReplaceSilent() const;
    bool replaceSilent(const BackendServerName&);
    Offer offerServer(unsigned offeredRank, const BackendServerName* freed, Instant now) override;
    void noteNoServer(const WaitingRequest&) override;
    bool isWaitInVain(Instant now) override;
    void resume() override { m_call->waitEnded.notifyAll(); }
    void updateRateWait(bool isWaiting);
    void noteRateDemand();
    void returnRateGrant(const BackendServerName&);
    Instant rateAdmission(const ServerIncarnation&, Instant now) const;
    std::optional<Instant> expectedRateAdmission(Instant now) const;
    bool expiresBeforeRateAdmission(Instant now);
    boost::asio::awaitable<Outcome> sendTo(const BackendServerName&);
    boost::asio::awaitable<Outcome> receive(const ServerIncarnation&, HttpResponseStream&, Instant sent);
    AnswerMetadata noteHead(const ServerIncarnation&, HttpResponseStream&, Instant sent);
    std::optional<Outcome> refusalOutcome(const BackendServerName&, const AnswerMetadata&, HttpResponseStream&);
    boost::asio::awaitable<Outcome> receiveBody(const BackendServerName&, const AnswerMetadata&, HttpResponseStream&);
    void applyNotice(const ServerIncarnation&, const ServerNotice&);
    void noteRateLimit(const RateLimitNotice&);
    boost::asio::awaitable<Outcome> receiveBuffered(const BackendServerName&, HttpResponseStream&);
    boost::asio::awaitable<Outcome> forwardEvents(const BackendServerName&, HttpResponseStream&);
    boost::asio::awaitable<void> respondWithFailure();
    boost::asio::awaitable<void> refuse(unsigned status, std::string_view reason, std::optional<Duration> retryAfter = std::nullopt);
    void abortResponse(std::string_view reason);
    bool canMove() const;
    void noteProgress();
    void watchSilence();
    void checkSilence();
    void noteSilence();
    void endSilence();
    void notePromptRead(const BackendServerName&);
    ForwardingTerms termsFor(const BackendServerName&) const;
    void noteRefused(unsigned status, std::string_view reason, Duration retryAfter);
    void logCallerDisconnect();
    Outcome noteLostAttempt(const BackendServerName&, const Error<HttpClientErrorCode>&);
    Outcome noteFailedAttempt(const BackendServerName&, Outcome, std::string_view reason);
    ServerIncarnation incarnationOf(const BackendServerName&) const;
    std::string sharedPartsText() const;
    bool mayResend(Outcome);
    std::string_view resendObstacle(Outcome);
    bool isUnservable(Instant now);
    bool expiresBeforePauseEnds(Instant now);
    Instant nextCheck(Instant now) const;
    Duration suggestedRetryAfter();
    Instant answerDeadline() const;
    Duration silenceLimit() const;
    bool hasModel() const { return !m_key.model.isEmpty(); }
    Duration timeLeft() const;
    Duration elapsed() const;
    void noteAnswered(const BackendServerName&, unsigned status);
    void countOutcome(std::string_view outcome);

    GatewayCore& m_core;
    HttpExchange& m_exchange;
    Instant m_received;
    RouteConfigurationPointer m_configuration;
    const Route* m_route = nullptr;
    /** The workspace of the caller's key; null if the configuration has none, or the route is public. */
    const Workspace* m_workspace = nullptr;
    /** What the request costs its workspace; 0 unless it was admitted to a quota. */
    std::uint64_t m_quotaCost = 0;
    bool m_isQuotaSent = false;
    /** True once a server's response was forwarded. */
    bool m_hasSucceeded = false;
    RequestMetadata m_metadata;
    ModelKey m_key;
    /** The key of the request, which is the same for each try of it by its caller, and those of the prompt's parts that other requests may share. */
    std::vector<PromptPartKey> m_suspectKeys;
    /** How long the caller is asked to stay away if the request or a part of its prompt is quarantined. */
    std::optional<Duration> m_retryAfterQuarantine;
    bool m_isTrialDue = false;
    /** True if it tests whether a quarantined part still crashes servers. */
    bool m_isTrial = false;
    Instant m_deadline {};
    std::shared_ptr<CallState> m_call;
    /** Outlives the core. */
    std::shared_ptr<std::set<RequestForwarder*>> m_requests;
    std::shared_ptr<QuotaLimiter> m_quotas;
    /** Outlives the core. */
    std::shared_ptr<WaitingQueue> m_waiting;
    /** The server that was reserved for the request while it waited. */
    std::optional<BackendServerName> m_reserved;
    std::set<BackendServerName> m_triedServers;
    /** The servers that answered that they have not run this request. */
    std::set<BackendServerName> m_refusedBy;
    unsigned m_sends = 0;
    unsigned m_tries = 0;
    /** True once a server may have run the request. */
    bool m_mayHaveRun = false;
    /** True when servers hold the model and all of them are at their limit. */
    bool m_isFull = false;
    /** The servers' pauses, as of the last selection. */
    ServerTable::Pauses m_pauses;
    /** The servers that could take the request but for their rate limits, as of the last selection. */
    std::vector<ServerIncarnation> m_limited;
    /** The server with a rate limit for which the request counts as waiting. */
    std::optional<ServerIncarnation> m_rateWait;
    /** Since when it waits for any of them. */
    Instant m_rateWaitSince {};
    /** For each reserved server with a rate limit: its incarnation, and the end of the grant. */
    std::map<BackendServerName, std::pair<ServerIncarnation, Instant>> m_rateGrants;
    /** True while a server may be processing the prompt. */
    bool m_isReading = false;
    /** The last error response from a server, returned if no other server succeeds. */
    std::optional<HttpResponse> m_failure;
    BackendServerName m_failedAt;
    /** True once the start of a stream was sent to the caller. */
    bool m_hasBegun = false;
    /** The id of the last event that was sent to the caller. */
    std::optional<std::uint64_t> m_lastEvent;
    Duration m_firstByte {};
    /** Why the last attempt, or the wait for another server, failed. */
    std::string m_lastFault;
    /** Why the last attempt failed. */
    std::string m_attemptFault;
    /** When the last attempt was sent, or its server last made progress. */
    Instant m_lastProgress {};
    BackendServerName m_currentServer;
    /** True once the head of the current server's answer was read. */
    bool m_hasHead = false;
    Instant m_attemptSent {};
    /** When the current server's incarnation started, in milliseconds since 1970. */
    std::int64_t m_attemptStartedAt = 0;
    /** Pieces of the current server's answer that completed an event. */
    unsigned m_eventBatches = 0;
    /** The server whose connection broke before its answer had begun; it may have crashed. */
    std::optional<ServerIncarnation> m_brokenServer;
    /** The server whose answer stays open while another server is asked to take over. */
    BackendServerName m_silentServer;
    /** The servers at which the request counts as active. */
    std::set<BackendServerName> m_activeServers;
    std::optional<WatchdogTimer> m_silenceTimer;
    /** Ends the time for which a silent attempt stays open beside the one that replaces it. */
    std::optional<WatchdogTimer> m_overlapTimer;
    /** Expires when the request is to be hedged. */
    std::optional<WatchdogTimer> m_hedgeTimer;
    /** Notified at the end of the hedge. */
    AsyncConditionVariable m_hedgeEnded;
    boost::asio::any_io_executor m_executor;
    /** The incarnation of the hedge's server, if its connection broke before its answer. */
    std::optional<ServerIncarnation> m_brokenHedgeServer;
    /** True while the current server has been silent for longer than the limit. */
    bool m_isSilent = false;
    /** True while the request counts as waiting for its model at another server, because the current one is silent. */
    bool m_isWaitingElsewhere = false;
    /** The server that is to replace a silent one; it is reserved, and the resend is charged. */
    std::optional<BackendServerName> m_successor;
    /** True once abort() was called. */
    bool m_isAborted = false;
};

} // namespace hemlockchute
