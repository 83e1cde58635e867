#pragma once

#include "gateway/GatewayCore.h"
#include "hemlockchute/http/HttpServer.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hemlockchute {

//==============================================================================
/**
    The way of one request: route, wait for its model, forward, pass the answer on.

    What may have run is never sent again unless its route allows it; a refusal that says that the
    request has not run is only made when no server can have run it. Thread safety: one thread.

    @see GatewayCore
*/
class RequestForwarder {
public:
    RequestForwarder(GatewayCore&, HttpExchange&);
    ~RequestForwarder();

    /** Answers the request. Call once. */
    boost::asio::awaitable<void> run();
    /** Gives up what goes on at a server, since the process ends; the caller is told as far as the outcome is known. */
    void abort();

private:
    /** What came of sending the request to one server. */
    enum class Outcome {
        /** The answer went to the caller, whole or broken off. */
        Answered,
        /** No byte of the request can have reached the server. */
        NotSent,
        /** The server said that it did not run the request. */
        NotRun,
        /** The request may have run, and there is no answer to pass on. */
        Unknown,
        /** The server failed the request; its answer is kept to be passed on. */
        Failed,
        CallerDisconnected
    };

    /** What outlives the forwarder when the caller leaves. */
    struct CallState {
        std::shared_ptr<HttpCallHandle> handle = std::make_shared<HttpCallHandle>();
        HttpResponseStream* answer = nullptr;
        bool isCallerDisconnected = false;

        void noteCallerDisconnect()
        {
            isCallerDisconnected = true;
            cancel();
        }

        void cancel()
        {
            handle->cancel();
            if (answer)
                answer->close();
        }
    };

    bool isReadyToRoute() const;
    boost::asio::awaitable<void> awaitReadiness();
    bool prepare();
    boost::asio::awaitable<void> forward();
    boost::asio::awaitable<std::optional<BackendServerName>> awaitServer();
    std::optional<BackendServerName> pickServer();
    boost::asio::awaitable<Outcome> sendTo(const BackendServerName&);
    boost::asio::awaitable<Outcome> receive(const BackendServerName&, const AnswerMetadata&, std::unique_ptr<HttpResponseStream>);
    void applyNotice(const ServerLife&, const ServerNotice&);
    boost::asio::awaitable<Outcome> receiveBuffered(const BackendServerName&, HttpResponseStream&);
    boost::asio::awaitable<Outcome> forwardEvents(const BackendServerName&, HttpResponseStream&);
    boost::asio::awaitable<void> respondWithFailure();
    boost::asio::awaitable<void> refuse(unsigned status, std::string_view reason, std::optional<Duration> retryAfter = std::nullopt);
    void abortResponse(std::string_view reason);
    void notePromptRead(const BackendServerName&);
    ForwardingTerms termsFor(const BackendServerName&) const;
    void noteRefused(unsigned status, std::string_view reason, Duration retryAfter);
    void logCallerDisconnect();
    Outcome noteFailedAttempt(const BackendServerName&, Outcome, std::string_view reason);
    bool mayResend(Outcome);
    bool isUnservable(Instant now);
    bool expiresBeforePauseEnds(Instant now);
    Instant nextCheck(Instant now) const;
    Duration suggestedRetryAfter();
    Instant attemptDeadline() const;
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
    RequestMetadata m_metadata;
    ModelKey m_key;
    Instant m_deadline {};
    std::shared_ptr<CallState> m_call;
    /** Outlives the core. */
    std::shared_ptr<std::set<RequestForwarder*>> m_requests;
    std::set<BackendServerName> m_triedServers;
    unsigned m_sends = 0;
    unsigned m_tries = 0;
    /** True once a server may have run the request. */
    bool m_mayHaveRun = false;
    /** True when servers hold the model and none has room. */
    bool m_isFull = false;
    /** The pauses that servers asked for, as of the last look for one. */
    ServerTable::Pauses m_pauses;
    /** True while a server may be reading the prompt. */
    bool m_isReading = false;
    /** A server's failure that is passed on when nobody else answers. */
    std::optional<HttpResponse> m_failure;
    BackendServerName m_failedAt;
    /** The last event that went to the caller; set once the answer has begun. */
    bool m_hasBegun = false;
    std::optional<std::uint64_t> m_lastEvent;
    Duration m_firstByte {};
    std::string m_lastFault;
    /** True once the process ends. */
    bool m_isAborted = false;
};

} // namespace hemlockchute
