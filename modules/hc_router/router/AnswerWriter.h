#pragma once

#include "router/CallerRequest.h"

#include "hemlockchute/http/HttpServer.h"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Writes a model's answer to its caller, as a stream or whole at the end.

    Thread safety: only on the coroutine of the exchange.
*/
class AnswerWriter {
public:
    AnswerWriter(HttpExchange&, const ModelRequest&);

    /** Takes the next token; false once the caller can no longer be reached. */
    boost::asio::awaitable<bool> token(std::string text);
    /** Ends a whole answer. */
    boost::asio::awaitable<void> complete();
    /** Ends an answer that cannot be completed. */
    boost::asio::awaitable<void> refuse(const Problem&);
    /** The tokens so far. */
    const std::vector<std::string>& tokens() const { return m_tokens; }

private:
    std::string event(const std::string& rest) const;

    HttpExchange& m_exchange;
    const ModelRequest& m_request;
    std::string m_idJson;
    std::vector<std::string> m_tokens;
};

} // namespace hemlockchute
