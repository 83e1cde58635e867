#pragma once

#include "hemlockchute/http/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <memory>
#include <mutex>
#include <string>

namespace hemlockchute::fakes {

//==============================================================================
/**
    Base class of fake servers, each of which simulates one external system as described in
    docs/PROTOCOLS.md.

    `GET /observed` returns counters that tests check; `POST /behave` with a JSON object changes the
    simulated behaviour, for example to inject faults. Thread safety: handle() may run on several threads at once.
*/
class StandIn {
public:
    virtual ~StandIn() = default;

    /** Answers one request, including those of the test interface. */
    boost::asio::awaitable<void> handle(HttpExchange&);

protected:
    /** Answers a request to the simulated system. */
    virtual boost::asio::awaitable<void> serve(HttpExchange&) = 0;
    /** Returns the counters and records that `GET /observed` reports. */
    virtual boost::json::object observed() const = 0;
    /** Returns the value set for a key with `POST /behave`, or null. */
    boost::json::value behaviour(std::string_view key) const;
    std::int64_t behaviourNumber(std::string_view key, std::int64_t fallback) const;

    mutable std::mutex m_lock;

private:
    boost::json::object m_behaviour;
};

/** Waits on the coroutine's executor. */
boost::asio::awaitable<void> pause(Duration);
/** Sends no answer and returns when the caller disconnects. */
boost::asio::awaitable<void> waitForDisconnect(HttpExchange&);
HttpResponse jsonAnswer(unsigned status, const boost::json::value&);
/** Returns a request's body as a JSON object, or an empty object if it is not one. */
boost::json::object jsonBody(const HttpRequest&);
/** Returns a string member of an object, or "". */
std::string textOf(const boost::json::object&, std::string_view key);
/** Returns an integer member of an object, or the fallback. */
std::int64_t numberOf(const boost::json::object&, std::string_view key, std::int64_t fallback);

//==============================================================================
/** Configuration of a fake engine. */
struct EngineOptions {
    std::string name = "engine";
    std::uint64_t memoryBytes = 16ULL << 30U;
    unsigned slots = 8;
    bool enforcesFencing = true;
    Duration tokenTime = 5ms;
    Duration loadTime = 200ms;
    /** "ip:port" of the weight store; if empty, loads take loadTime. */
    std::string weightStore;
};

std::unique_ptr<StandIn> makeEngine(const EngineOptions&);
std::unique_ptr<StandIn> makeService(const std::string& name);
/** Serves the platform's host list; `hosts` is the initial JSON array, which POST /hosts replaces. */
std::unique_ptr<StandIn> makePlatform(const boost::json::array& hosts);
std::unique_ptr<StandIn> makeWeightStore(double loadsPerSecond, unsigned atOnce, Duration loadTime);

} // namespace hemlockchute::fakes
