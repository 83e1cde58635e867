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
    , m_idJson("{\"id\":" + quoted(request.terms.request.text()))
{
}

asio::awaitable<bool> AnswerWriter::token(std::string text)
{
    m_tokens.push_back(std::move(text));
    if (!m_request.isStream)
        co_return true;
    if (m_tokens.size() == 1) {
        bool started = co_await m_exchange.startStream(200, streamHeaders(m_request.terms.request));
        if (!started)
            co_return false;
    }
    std::string index = std::to_string(m_tokens.size() - 1);
    co_return co_await writeEvent(m_idJson + ",\"index\":" + index + ",\"token\":" + quoted(m_tokens.back()) + "}");
}

asio::awaitable<void> AnswerWriter::complete()
{
    std::string count = std::to_string(m_tokens.size());
    if (!m_request.isStream) {
        std::string text;
        for (const std::string& token : m_tokens)
            text += token;
        HttpResponse response = HttpResponse::json(200, m_idJson + ",\"model\":" + quoted(m_request.model.text()) + ",\"text\":" + quoted(text) + ",\"tokens\":" + count + "}");
        response.headers.set("X-Request-Id", m_request.terms.request.text());
        co_await m_exchange.respond(std::move(response));
        co_return;
    }
    if (m_tokens.empty())
        co_await m_exchange.startStream(200, streamHeaders(m_request.terms.request));
    co_await writeEvent(m_idJson + ",\"done\":true,\"tokens\":" + count + "}");
    co_await m_exchange.finish();
}

asio::awaitable<void> AnswerWriter::refuse(const Problem& problem)
{
    bool hasStarted = m_request.isStream && !m_tokens.empty();
    if (!hasStarted) {
        co_await m_exchange.respond(problemResponse(problem, m_request.terms.request));
        co_return;
    }
    co_await writeEvent(m_idJson + ",\"error\":" + problemJson(problem, m_request.terms.request) + "}");
    co_await m_exchange.finish();
}

asio::awaitable<bool> AnswerWriter::writeEvent(std::string json)
{
    co_return co_await m_exchange.write("data: " + json + "\n\n");
}

} // namespace hemlockchute
