#include "Caller.h"

namespace hemlockchute::harness {

namespace asio = boost::asio;

namespace {

constexpr Duration callTimeout = 60s;

/** Parses the events of a stream and checks that no token is missing. */
class EventStreamReader {
public:
    explicit EventStreamReader(CallResult& result)
        : m_result(result)
    {
    }

    void append(const ByteString& piece)
    {
        m_buffer += piece;
        for (std::size_t end = m_buffer.find("\n\n"); end != std::string::npos; end = m_buffer.find("\n\n")) {
            processEvent(m_buffer.substr(0, end));
            m_buffer.erase(0, end + 2);
        }
    }

private:
    void processEvent(const std::string& event)
    {
        constexpr std::string_view prefix = "data: ";
        boost::system::error_code error;
        boost::json::value value = boost::json::parse(event.substr(std::min(event.size(), prefix.size())), error);
        if (error || !value.is_object()) {
            m_result.failure = "an event that is not JSON: " + event;
            return;
        }
        const boost::json::object& object = value.as_object();
        if (object.contains("done")) {
            m_result.isComplete = object.at("tokens").to_number<std::uint64_t>() == m_result.tokens;
        } else if (const boost::json::value* problem = object.if_contains("error")) {
            m_result.body = boost::json::serialize(*problem);
            m_result.failure = "the stream ended with an error";
        } else {
            if (object.at("index").to_number<std::uint64_t>() != m_result.tokens)
                m_result.failure = "token " + std::to_string(m_result.tokens) + " is missing";
            ++m_result.tokens;
        }
    }

    CallResult& m_result;
    std::string m_buffer;
};

HttpRequest makeModelRequest(const ModelRequestOptions& options)
{
    boost::json::object body { { "model", options.model }, { "prompt", "which apron?" }, { "max_tokens", options.tokens }, { "stream", true } };
    if (!options.adapter.empty())
        body["adapter"] = options.adapter;
    HttpRequest request { "POST", "/v1/chat/completions", { { "Content-Type", "application/json" } }, boost::json::serialize(body) };
    if (!options.rank.empty())
        request.headers.set("X-Rank", options.rank);
    if (options.deadlineMilliseconds > 0)
        request.headers.set("X-Deadline-Ms", std::to_string(options.deadlineMilliseconds));
    return request;
}

HttpRequest makeServiceRequest(const std::string& service, const std::string& path, const std::string& key)
{
    HttpRequest request { "POST", "/services/" + service + path, { { "Content-Type", "application/json" } }, R"({"hides":3})" };
    if (!key.empty())
        request.headers.set("Idempotency-Key", key);
    return request;
}

} // namespace

std::string CallResult::outcome() const
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(body, error);
    if (error || !value.is_object())
        return {};
    const boost::json::value* outcome = value.as_object().if_contains("outcome");
    return outcome && outcome->is_string() ? std::string(outcome->as_string()) : std::string();
}

std::string CallResult::summary() const
{
    std::string text = status ? "status " + std::to_string(status) : "no answer (" + failure + ")";
    if (tokens > 0)
        text += ", " + std::to_string(tokens) + " tokens" + (isComplete ? ", complete" : ", NOT complete");
    if (auto run = headers.find("X-Run"))
        text += ", run " + *run;
    if (!body.empty())
        text += ", " + body;
    return text + ", " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(total).count()) + " ms";
}

asio::awaitable<CallResult> requestModel(HttpClient& client, asio::ip::tcp::endpoint endpoint, ModelRequestOptions options)
{
    CallResult result;
    Instant start = std::chrono::steady_clock::now();
    Instant deadline = start + callTimeout;
    HttpRequest request = makeModelRequest(options);
    auto stream = co_await client.open(endpoint, request, deadline, HttpClient::ConnectionUse::Fresh);
    if (!stream) {
        result.failure = stream.error().detail;
        co_return result;
    }
    result.headers = (*stream)->headers();
    bool isStream = result.headers.find("Content-Type").value_or("").starts_with("text/event-stream");
    EventStreamReader reader(result);
    while (true) {
        auto piece = co_await (*stream)->read(deadline);
        if (!piece) {
            result.failure = piece.error().detail;
            break;
        }
        if (!*piece) {
            result.status = (*stream)->status();
            break;
        }
        if (result.firstToken == Duration::zero())
            result.firstToken = std::chrono::steady_clock::now() - start;
        if (isStream)
            reader.append(**piece);
        else
            result.body += **piece;
    }
    result.total = std::chrono::steady_clock::now() - start;
    co_return result;
}

asio::awaitable<CallResult> callService(HttpClient& client, asio::ip::tcp::endpoint endpoint, std::string service, std::string path, std::string key)
{
    CallResult result;
    Instant start = std::chrono::steady_clock::now();
    HttpRequest request = makeServiceRequest(service, path, key);
    auto response = co_await client.send(endpoint, request, start + callTimeout, HttpClient::ConnectionUse::Fresh);
    result.total = std::chrono::steady_clock::now() - start;
    if (!response) {
        result.failure = response.error().detail;
        co_return result;
    }
    result.status = response->status;
    result.headers = response->headers;
    result.body = response->body;
    result.isComplete = true;
    co_return result;
}

} // namespace hemlockchute::harness
