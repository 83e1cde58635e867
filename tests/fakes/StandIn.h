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
    A small server that plays one system outside hemlockchute, as docs/PROTOCOLS.md describes it.

    `GET /observed` tells what it saw, for oracles; `POST /behave` with a JSON object changes how it
    behaves. Thread safety: handle() may run on several threads at once.
*/
class StandIn {
public:
    virtual ~StandIn() = default;

    /** Answers one request. */
    boost::asio::awaitable<void> handle(HttpExchange&);

protected:
    /** Answers a request of the system played. */
    virtual boost::asio::awaitable<void> serve(HttpExchange&) = 0;
    /** What it saw so far. */
    virtual boost::json::object observed() const = 0;
    /** How it behaves: any key a stand-in knows, with its value. */
    boost::json::value behaviour(std::string_view key) const;
    std::int64_t behaviourNumber(std::string_view key, std::int64_t fallback) const;

    mutable std::mutex m_lock;

private:
    boost::json::object m_behaviour;
};

/** Waits on the coroutine's executor. */
boost::asio::awaitable<void> pause(Duration);
/** Waits for ever, or until the caller has gone. */
boost::asio::awaitable<void> waitForDisconnect(HttpExchange&);
/** A JSON answer. */
HttpResponse jsonAnswer(unsigned status, const boost::json::value&);
/** A request's body as a JSON object; empty when it is not one. */
boost::json::object jsonBody(const HttpRequest&);
/** A text member of an object, or "". */
std::string textOf(const boost::json::object&, std::string_view key);
/** A number member of an object, or the fallback. */
std::int64_t numberOf(const boost::json::object&, std::string_view key, std::int64_t fallback);

//==============================================================================
/** What a stand-in for an engine is made with. */
struct EngineOptions {
    std::string name = "engine";
    std::uint64_t memoryBytes = 16ULL << 30U;
    unsigned slots = 8;
    bool enforcesFencing = true;
    Duration tokenTime = 5ms;
    Duration loadTime = 200ms;
    /** "ip:port" of the weight store; empty: loads take loadTime. */
    std::string weightStore;
};

std::unique_ptr<StandIn> makeEngine(const EngineOptions&);
std::unique_ptr<StandIn> makeService(const std::string& name);
/** The platform's host list; `hosts` is the JSON array it starts with, and POST /hosts replaces it. */
std::unique_ptr<StandIn> makePlatform(const boost::json::array& hosts);
std::unique_ptr<StandIn> makeWeightStore(double loadsPerSecond, unsigned atOnce, Duration loadTime);

} // namespace hemlockchute::fakes
