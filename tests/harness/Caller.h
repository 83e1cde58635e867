#pragma once

#include "hemlockchute/http/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <string>

namespace hemlockchute::harness {

/** The result of one call, as the caller sees it. */
struct CallResult {
    /** HTTP status; 0 if no complete answer was received, in which case `failure` has the reason. */
    unsigned status = 0;
    std::string failure;
    HttpHeaders headers;
    std::string body;
    /** Number of tokens received. A gap in their numbers, which begin at 0, sets `failure`. */
    std::uint64_t tokens = 0;
    bool isComplete = false;
    Duration firstToken {};
    Duration total {};

    /** The `outcome` field of a refusal, or "". */
    std::string outcome() const;
    std::string summary() const;
};

/** Parameters of a model request. */
struct ModelRequestOptions {
    std::string model;
    std::string adapter;
    std::string rank;
    int tokens = 8;
    int deadlineMilliseconds = 0;
};

/** Sends a streaming model request and reads the stream to its end. Thread safety: any thread. */
boost::asio::awaitable<CallResult> requestModel(HttpClient&, boost::asio::ip::tcp::endpoint, ModelRequestOptions);
/** Calls a plain service. Thread safety: any thread. */
boost::asio::awaitable<CallResult> callService(HttpClient&, boost::asio::ip::tcp::endpoint, std::string service, std::string path, std::string key);

} // namespace hemlockchute::harness
