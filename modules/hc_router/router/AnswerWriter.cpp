#include "router/AnswerWriter.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

std::string quoted(const std::string& text)
{
    return boost::json::serialize(boost::json::string(text));
}

HttpHeaders streamHeaders(const RequestId& request)
{
    HttpHeaders headers;
    headers.set("Content-Type", "text/event-stream");
    headers.set("Cache-Control", "no-cache");
    headers.set("X-Request-Id", request.text());
    return headers;
}

} // namespace

AnswerWriter::AnswerWriter(HttpExchange& exchange, const ModelRequest& request)
    : m_exchange(exchange)
    , m_request(request)
    , m_idJson("{\"id\":" + quoted(request.parameters.request.text()))
{
}

asio::awaitable<bool> AnswerWriter::token(std::string text)
{
    m_tokens.push_back(std::move(text));
    if (!m_request.isStream)
        co_return true;
    std::string index = std::to_string(m_tokens.size() - 1);
    std::string written = event(",\"index\":" + index + ",\"token\":" + quoted(m_tokens.back()) + "}");
    if (m_tokens.size() == 1)
        co_return co_await m_exchange.startStream(200, streamHeaders(m_request.parameters.request), std::move(written));
    co_return co_await m_exchange.write(std::move(written));
}

asio::awaitable<void> AnswerWriter::complete()
{
    std::string count = std::to_string(m_tokens.size());
    if (!m_request.isStream) {
        std::string text;
        for (const std::string& token : m_tokens)
            text += token;
        HttpResponse response = HttpResponse::json(200, m_idJson + ",\"model\":" + quoted(m_request.model.text()) + ",\"text\":" + quoted(text) + ",\"tokens\":" + count + "}");
        response.headers.set("X-Request-Id", m_request.parameters.request.text());
        co_await m_exchange.respond(std::move(response));
        co_return;
    }
    if (m_tokens.empty())
        co_await m_exchange.startStream(200, streamHeaders(m_request.parameters.request));
    co_await m_exchange.finish(event(",\"done\":true,\"tokens\":" + count + "}"));
}

asio::awaitable<void> AnswerWriter::refuse(const Problem& problem)
{
    bool hasStarted = m_request.isStream && !m_tokens.empty();
    if (!hasStarted) {
        co_await m_exchange.respond(problemResponse(problem, m_request.parameters.request));
        co_return;
    }
    co_await m_exchange.finish(event(",\"error\":" + problemJson(problem, m_request.parameters.request) + "}"));
}

/** A server-sent event whose JSON object starts with the request's id. */
std::string AnswerWriter::event(const std::string& rest) const
{
    return "data: " + m_idJson + rest + "\n\n";
}

} // namespace hemlockchute
