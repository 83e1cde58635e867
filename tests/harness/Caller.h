#pragma once

#include "hemlockchute/http/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <string>

namespace hemlockchute::harness {

/** What a caller got. */
struct CallResult {
    /** 0: no whole answer came, and `failure` says why. */
    unsigned status = 0;
    std::string failure;
    HttpHeaders headers;
    std::string body;
    /** Tokens of a stream, checked to be numbered from 0 without a gap. */
    std::uint64_t tokens = 0;
    bool isComplete = false;
    Duration firstToken {};
    Duration total {};

    /** `outcome` of a refusal, or "". */
    std::string outcome() const;
    std::string summary() const;
};

/** A request for a model, as a caller makes it. */
struct ModelRequestOptions {
    std::string model;
    std::string adapter;
    std::string rank;
    int tokens = 8;
    int deadlineMilliseconds = 0;
};

/** Asks a model for a stream and reads it to its end. Thread safety: any thread. */
boost::asio::awaitable<CallResult> requestModel(HttpClient&, boost::asio::ip::tcp::endpoint, ModelRequestOptions);
/** Calls a plain service. Thread safety: any thread. */
boost::asio::awaitable<CallResult> callService(HttpClient&, boost::asio::ip::tcp::endpoint, std::string service, std::string path, std::string key);

} // namespace hemlockchute::harness
