#pragma once

#include "hemlockchute/backend/BackendServer.h"
#include "hemlockchute/document/Document.h"
#include "hemlockchute/http/http.h"
#include "hemlockchute/router/Router.h"
#include "hemlockchute/state/StateMachine.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <mutex>
#include <set>
#include <thread>

namespace hemlockchute::testing {

/** Behaviour of a fake backend server for one request. */
struct FakeServerBehaviour {
    unsigned tokens = 3;
    /** Number of tokens after which it closes the connection. */
    std::optional<unsigned> disconnectAfter;
    /** Number of tokens after which it sends nothing more and keeps the connection open. */
    std::optional<unsigned> stallAfter;
    /** Number of tokens after which it is silent for the pause before it goes on. */
    std::optional<unsigned> pauseAfter;
    Duration pause = 1700ms;
    /** Attempt id of its answers, instead of the request's. */
    std::string attemptIdOverride;
    /** Refuses with this status. */
    unsigned status = 200;
};

//==============================================================================
/** A combined engine and plain service that records its requests. Thread safety: any thread. */
class FakeBackendServer {
public:
    FakeBackendServer(boost::asio::io_context&, std::string name);

    BackendServer server(ServiceName service = {}) const;
    PlacedEngine placed(const ModelName&, unsigned slots = 8) const;
    /** Queues a behaviour for one request; queued behaviours are used in order. */
    void queueBehaviour(FakeServerBehaviour);
    /** Sets the behaviour for requests without a queued one. */
    void setDefaultBehaviour(FakeServerBehaviour);
    /** Delays all answers while true. */
    void setHeld(bool);
    std::vector<HttpRequest> requests() const;
    unsigned running() const { return m_running; }

private:
    boost::asio::awaitable<void> answer(HttpExchange&);
    boost::asio::awaitable<void> stream(HttpExchange&, FakeServerBehaviour);
    boost::asio::awaitable<void> stall(HttpExchange&);
    boost::asio::awaitable<void> waitWhileHeld(HttpExchange&);
    FakeServerBehaviour nextBehaviour();

    std::string m_name;
    mutable std::mutex m_lock;
    std::vector<FakeServerBehaviour> m_queuedBehaviours;
    FakeServerBehaviour m_defaultBehaviour;
    std::vector<HttpRequest> m_requests;
    std::atomic<bool> m_isHeld { false };
    std::atomic<unsigned> m_running { 0 };
    HttpServer m_server;
    boost::asio::ip::tcp::endpoint m_endpoint;
};

//==============================================================================
/** A run registry on the real state machine, without keepers, that can simulate failures. Thread safety: any thread. */
class FakeRunRegistry : public RunRegistry {
public:
    boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> propose(CommandBody, Duration) override;
    boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration) override;

    enum class Mode {
        Available,
        /** Commands are not accepted. */
        Unavailable,
        /** Commands are applied, but their answers are lost. */
        AnswersLost,
        /** Commands are applied and answered later than the tests' short deadline. */
        Slow,
        /** Commands are applied only once this mode ends, and their answers are lost. */
        Delayed
    };
    void setMode(Mode);
    Mode mode() const;
    RunAnswer run(const std::string& key) const;

private:
    RunAnswer apply(const CommandBody&);

    mutable std::mutex m_lock;
    Mode m_mode = Mode::Available;
    StateMachine m_state { StateMachine::Options() };
    std::vector<CommandBody> m_delayedCommands;
};

//==============================================================================
/** A router with fake backend servers and a fake run registry, and the threads that run them. */
struct RouterFixture {
    RouterFixture();
    ~RouterFixture();

    /** Sends a request to the router and reads the complete response. */
    Result<HttpResponse, HttpClientErrorCode> send(HttpRequest, Duration timeout = 20s);
    HttpResponse sendModelRequest(const std::string& body, HttpHeaders = {});
    HttpResponse callBookingService(const std::string& key, const std::string& body = "one", HttpHeaders = {});
    /** Sends raw bytes and reads until the router closes. */
    std::string exchangeRaw(const std::string& bytes, bool closeAfterwards = false);
    /** Sets the placement to these engines. */
    void setEngines(std::vector<PlacedEngine>);

    boost::asio::io_context context;
    FakeRunRegistry runs;
    FakeBackendServer first;
    FakeBackendServer second;
    Router router;
    HttpClient client;
    boost::asio::ip::tcp::endpoint callers;
    boost::asio::ip::tcp::endpoint operators;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::vector<std::thread> threads;
};

/** Waits for a condition, at most ten seconds. */
template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 1000 && !condition(); ++i)
        std::this_thread::sleep_for(10ms);
    return condition();
}

} // namespace hemlockchute::testing
