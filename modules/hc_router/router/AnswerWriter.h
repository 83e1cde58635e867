#pragma once

#include "router/CallerRequest.h"

#include "hemlockchute/http/HttpServer.h"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Writes a model's answer to its caller, streamed or as one response at the end.

    Thread safety: use only on the coroutine of the exchange.
*/
class AnswerWriter {
public:
    AnswerWriter(HttpExchange&, const ModelRequest&);

    /** Appends the next token; false once writing to the caller fails. */
    boost::asio::awaitable<bool> token(std::string text);
    /** Ends an answer that is complete. */
    boost::asio::awaitable<void> complete();
    /** Refuses the request, or ends a started stream with an error event. */
    boost::asio::awaitable<void> refuse(const Problem&);
    const std::vector<std::string>& tokens() const { return m_tokens; }

private:
    std::string event(const std::string& rest) const;

    HttpExchange& m_exchange;
    const ModelRequest& m_request;
    std::string m_idJson;
    std::vector<std::string> m_tokens;
};

} // namespace hemlockchute
