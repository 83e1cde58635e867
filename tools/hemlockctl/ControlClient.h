#pragma once

#include "ControlSettings.h"

#include "hemlockchute/http/HttpClient.h"

#include <ostream>

namespace hemlockchute {

enum class ControlErrorCode {
    /** No keeper answered in time; the detail has the last failure of each. */
    Unreachable
};

//==============================================================================
/**
    Sends one request to the keepers in turn until one returns a final answer.

    A keeper that cannot be reached or answers 503 is skipped and retried in the next round. While a
    request takes longer than a second, the keeper being waited for is printed to `progress`. Thread safety: one thread
    at a time.
*/
class ControlClient {
public:
    /** Whether a request whose answer was lost may be sent again. */
    enum class RetryPolicy {
        Always,
        /** Only if the request certainly did not reach a keeper. */
        IfNotSent
    };

    ControlClient(ControlSettings, Duration timeout, std::ostream& progress);

    /** Blocks until a keeper answers or the time-out expires. */
    Result<HttpResponse, ControlErrorCode> send(HttpRequest, RetryPolicy);

    /** Fetches a page from one address without a token. Blocks until there is an answer or the time-out for one router expires. */
    Result<HttpResponse, ControlErrorCode> fetch(const Endpoint&, const std::string& target);

private:
    boost::asio::awaitable<void> tryKeepers(HttpRequest, RetryPolicy);
    boost::asio::awaitable<void> reportProgress();
    boost::asio::awaitable<bool> sendTo(const Endpoint&, const HttpRequest&, RetryPolicy);
    std::string failures() const;

    ControlSettings m_settings;
    Duration m_timeout;
    std::ostream& m_progress;
    /** Set while a request is in progress. */
    HttpClient* m_client = nullptr;
    Instant m_deadline;
    std::optional<HttpResponse> m_answer;
    /** The last failure of each keeper. */
    std::vector<std::string> m_failures;
    std::size_t m_currentKeeper = 0;
};

} // namespace hemlockchute
