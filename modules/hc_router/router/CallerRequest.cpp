#include "router/CallerRequest.h"

#include "hemlockchute/backend/JsonFields.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace hemlockchute {

namespace json = boost::json;

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
constexpr std::size_t maximumIdLength = 200;
constexpr std::uint64_t maximumTokens = 65536;
constexpr std::uint64_t defaultTokens = 256;
constexpr std::string_view servicesPrefix = "/services/";

Problem problem(unsigned status, std::string detail)
{
    Problem made;
    made.status = status;
    made.detail = std::move(detail);
    return made;
}

tl::unexpected<Problem> refuse(unsigned status, std::string detail)
{
    return tl::unexpected(problem(status, std::move(detail)));
}

/** 1 to 200 printable ASCII characters. */
bool isPrintable(const std::string& text)
{
    auto isPrintableCharacter = [](unsigned char character) { return character >= 0x20 && character <= 0x7e; };
    return !text.empty() && text.size() <= maximumIdLength && std::all_of(text.begin(), text.end(), isPrintableCharacter);
}

const RankSpec* leastUrgentRank(const Document& document)
{
    auto found = std::max_element(document.ranks.begin(), document.ranks.end(), [](const auto& a, const auto& b) { return a.second.order < b.second.order; });
    return found == document.ranks.end() ? nullptr : &found->second;
}

tl::expected<RankSpec, Problem> readRank(const HttpRequest& request, const Document& document)
{
    const RankSpec* fallback = leastUrgentRank(document);
    if (!fallback)
        return refuse(statusUnavailable, "no document with ranks is in force yet");
    auto name = request.headers.find("X-Rank");
    if (!name)
        return *fallback;
    auto found = document.ranks.find(RankName(*name));
    if (found == document.ranks.end())
        return refuse(statusBadRequest, "X-Rank: no such rank");
    return found->second;
}

tl::expected<Duration, Problem> readTimeout(const HttpRequest& request, const RankSpec& rank)
{
    auto text = request.headers.find("X-Deadline-Ms");
    if (!text)
        return rank.longestWait;
    std::uint32_t milliseconds = 0;
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), milliseconds);
    if (error != std::errc() || end != text->data() + text->size() || milliseconds == 0)
        return refuse(statusBadRequest, "X-Deadline-Ms: must be a whole number of milliseconds above 0");
    return std::min<Duration>(rank.longestWait, std::chrono::milliseconds(milliseconds));
}

/** The first error in the caller's object, or an empty text. */
std::string faultOf(const json::value& value)
{
    std::string fault;
    JsonFields fields(value, "", fault);
    fields.text("model");
    fields.text("adapter", "");
    fields.text("prompt", "");
    fields.flag("stream", false);
    std::uint64_t tokens = fields.number("max_tokens", defaultTokens);
    if (tokens < 1 || tokens > maximumTokens)
        fields.addFault("max_tokens", "must be 1 to 65536");
    const json::object* object = value.if_object();
    if (!object)
        return "the body must be a JSON object";
    const json::value* messages = object->if_contains("messages");
    if (messages && !messages->is_array())
        fields.addFault("messages", "must be an array");
    if (!messages && !fields.has("prompt"))
        fields.addFault("messages", "is missing, and so is prompt");
    return fault;
}

std::string textOf(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    return value ? std::string(value->as_string()) : std::string();
}

std::string checkNames(const ModelRequest& request, const Document& document)
{
    if (!document.models.contains(request.model))
        return "no model named " + request.model.text();
    if (request.adapter.isEmpty())
        return {};
    auto adapter = document.adapters.find(request.adapter);
    if (adapter == document.adapters.end() || adapter->second.model != request.model)
        return "no adapter named " + request.adapter.text() + " of that model";
    return {};
}

} // namespace

//==============================================================================
RequestId requestIdOf(const HttpRequest& request, const RequestId& generated)
{
    auto id = request.headers.find("X-Request-Id");
    return id && isPrintable(*id) ? RequestId(*id) : generated;
}

tl::expected<RequestParameters, Problem> readRequestParameters(const HttpRequest& request, const RequestId& id, const Document& document, Instant now)
{
    auto rank = readRank(request, document);
    if (!rank)
        return tl::unexpected(rank.error());
    auto timeout = readTimeout(request, *rank);
    if (!timeout)
        return tl::unexpected(timeout.error());
    return RequestParameters { id, *rank, now, now + *timeout };
}

tl::expected<ModelRequest, Problem> readModelRequest(const HttpRequest& request, RequestParameters parameters, const Document& document)
{
    boost::system::error_code error;
    json::value value = json::parse(request.body, error);
    if (error)
        return refuse(statusBadRequest, "the body is not JSON");
    if (std::string fault = faultOf(value); !fault.empty())
        return refuse(statusBadRequest, fault);
    json::object& object = value.as_object();
    ModelRequest model;
    model.parameters = std::move(parameters);
    model.model = ModelName(textOf(object, "model"));
    model.adapter = AdapterName(textOf(object, "adapter"));
    if (const json::value* stream = object.if_contains("stream"))
        model.isStream = stream->as_bool();
    if (std::string fault = checkNames(model, document); !fault.empty())
        return refuse(statusNotFound, fault);
    // resume_after belongs to the protocol between router and engines; callers may not set it.
    bool hadResume = object.erase("resume_after") > 0;
    model.body = hadResume ? json::serialize(value) : request.body;
    return model;
}

tl::expected<ServiceCallRequest, Problem> readServiceCall(const HttpRequest& request, RequestParameters parameters, const Document& document)
{
    std::string_view rest = std::string_view(request.target).substr(servicesPrefix.size());
    std::size_t nameEnd = std::min(rest.find_first_of("/?"), rest.size());
    auto service = document.services.find(ServiceName(std::string(rest.substr(0, nameEnd))));
    if (service == document.services.end())
        return refuse(statusNotFound, "no such service");
    ServiceCallRequest call { std::move(parameters), service->second, std::nullopt, {} };
    if (auto key = request.headers.find("Idempotency-Key")) {
        if (!isPrintable(*key))
            return refuse(statusBadRequest, "Idempotency-Key: must be 1 to 200 printable ASCII characters");
        call.key = IdempotencyKey(*key);
    }
    call.request.method = request.method;
    call.request.target = std::string(rest.substr(nameEnd));
    if (!call.request.target.starts_with('/'))
        call.request.target.insert(0, "/");
    call.request.body = request.body;
    for (const char* name : { "Content-Type", "Accept", "Idempotency-Key" }) {
        if (auto value = request.headers.find(name))
            call.request.headers.set(name, *value);
    }
    call.request.headers.set("X-Request-Id", call.parameters.request.text());
    return call;
}

} // namespace hemlockchute
