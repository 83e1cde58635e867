#pragma once

#include "ControlSettings.h"

#include "hemlockchute/http/HttpClient.h"

#include <ostream>

namespace hemlockchute {

enum class ControlErrorCode {
    /** No keeper answered in time; the detail says what each did last. */
    Unreachable
};

//==============================================================================
/**
    Puts one request to the keepers, one after the other, until one answers for good.

    A keeper that cannot be reached or answers 503 is passed over, and asked again after a pause.
    Says on `progress` what it waits for once that takes over a second. Thread safety: one thread
    at a time.
*/
class ControlClient {
public:
    /** Whether a request whose answer was lost may be sent again. */
    enum class RetryPolicy {
        Always,
        /** Only while it certainly did not reach a keeper. */
        IfNotSent
    };

    ControlClient(ControlSettings, Duration timeout, std::ostream& progress);

    /** Blocks until there is an answer or the timeout has passed. */
    Result<HttpResponse, ControlErrorCode> send(HttpRequest, RetryPolicy);

    /** Asks one address for a page without a token. Blocks until there is an answer or the timeout for one router has passed. */
    Result<HttpResponse, ControlErrorCode> fetch(const Endpoint&, const std::string& target);

private:
    boost::asio::awaitable<void> tryKeepers(HttpRequest, RetryPolicy);
    boost::asio::awaitable<void> reportProgress();
    boost::asio::awaitable<bool> sendTo(const Endpoint&, const HttpRequest&, RetryPolicy);
    std::string failures() const;

    ControlSettings m_settings;
    Duration m_timeout;
    std::ostream& m_progress;
    /** Set while a request is under way. */
    HttpClient* m_client = nullptr;
    Instant m_deadline;
    std::optional<HttpResponse> m_answer;
    /** What each keeper did last. */
    std::vector<std::string> m_failures;
    std::size_t m_currentKeeper = 0;
};

} // namespace hemlockchute
