#include "backend/EngineMessages.h"

#include "backend/JsonText.h"
#include "hemlockchute/backend/JsonFields.h"

#include <boost/json/serialize.hpp>

namespace hemlockchute {

namespace json = boost::json;

namespace {

constexpr const char* orderKinds[] = { "load_model", "unload_model", "load_adapter", "unload_adapter" };
constexpr const char* loadSources[] = { "memory", "disk", "store" };

template <typename Name>
std::vector<Name> namesFrom(std::vector<std::string> texts)
{
    std::vector<Name> names;
    names.reserve(texts.size());
    for (std::string& text : texts)
        names.emplace_back(std::move(text));
    return names;
}

EngineModel readModel(JsonFields& fields)
{
    EngineModel model;
    model.model = ModelName(fields.text("model"));
    model.version = fields.text("version", "1");
    model.phase = static_cast<LoadPhase>(fields.choice("phase", { "loading", "loaded", "unloading" }));
    model.memory = ByteCount(fields.number("memory_bytes"));
    model.adapters = namesFrom<AdapterName>(fields.texts("adapters"));
    return model;
}

EngineState readState(JsonFields& fields)
{
    EngineState state;
    state.name = BackendServerName(fields.text("engine"));
    state.incarnation = fields.text("incarnation");
    state.enforcesFencing = fields.flag("enforces_fencing", false);
    state.highestFencing = FencingNumber(fields.number("highest_fencing", 0));
    state.memory = ByteCount(fields.number("memory_bytes"));
    state.memoryUsed = ByteCount(fields.number("memory_used_bytes"));
    state.slots = static_cast<unsigned>(fields.number("slots"));
    state.running = static_cast<unsigned>(fields.number("running", 0));
    state.queued = static_cast<unsigned>(fields.number("queued", 0));
    state.isLeaving = fields.flag("leaving", false);
    state.lag = std::chrono::milliseconds(fields.number("lag_ms", 0));
    for (JsonFields& model : fields.objects("models"))
        state.models.push_back(readModel(model));
    state.cachedInMemory = namesFrom<ModelName>(fields.texts("cached_in_memory"));
    state.cachedOnDisk = namesFrom<ModelName>(fields.texts("cached_on_disk"));
    state.ordersSeen = namesFrom<OrderId>(fields.texts("orders_seen"));
    return state;
}

} // namespace

//==============================================================================
Result<EngineState, BackendErrorCode> parseEngineState(std::string_view text)
{
    auto value = parseJson(text);
    if (!value)
        return failure(BackendErrorCode::Malformed, "the engine state is not JSON");
    std::string fault;
    JsonFields fields(*value, "", fault);
    EngineState state = readState(fields);
    if (!fault.empty())
        return failure(BackendErrorCode::Malformed, fault);
    return state;
}

ByteString encodeEngineOrder(const EngineOrder& order)
{
    json::object body;
    body["order"] = order.id.text();
    body["fencing"] = order.fencing.value();
    body["kind"] = orderKinds[static_cast<std::size_t>(order.kind)];
    body["model"] = order.model.text();
    body["version"] = order.version;
    body["adapter"] = order.adapter.text();
    body["source"] = loadSources[static_cast<std::size_t>(order.source)];
    body["memory_bytes"] = order.memory.value();
    body["lifetime_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(order.lifetime).count();
    return json::serialize(body);
}

Result<ByteString, BackendErrorCode> encodeInferBody(InferRequest& request)
{
    if (request.resumeAfter.empty())
        return std::move(request.body);
    auto value = parseJson(request.body);
    bool isObject = value.has_value();
    if (isObject)
        isObject = value->is_object();
    if (!isObject)
        return failure(BackendErrorCode::NotSent, "the request is not a JSON object");
    json::array tokens;
    for (const std::string& token : request.resumeAfter)
        tokens.emplace_back(token);
    value->as_object()["resume_after"] = std::move(tokens);
    return json::serialize(*value);
}

//==============================================================================
TokenEventValidator::TokenEventValidator(AttemptId attempt, std::uint64_t firstIndex)
    : m_attempt(std::move(attempt))
    , m_nextIndex(firstIndex)
{
}

Result<std::optional<TokenEvent>, BackendErrorCode> TokenEventValidator::validate(std::string_view data)
{
    auto value = parseJson(data);
    if (!value)
        return failure(BackendErrorCode::Malformed, "an event is not JSON");
    std::string fault;
    JsonFields fields(*value, "", fault);
    bool isOwn = fields.text("attempt") == m_attempt.text();
    bool isEnd = fields.flag("done", false);
    std::uint64_t index = fields.number(isEnd ? "tokens" : "index");
    std::string token = isEnd ? std::string() : fields.text("token");
    if (!fault.empty())
        return failure(BackendErrorCode::Malformed, fault);
    if (!isOwn)
        return failure(BackendErrorCode::Malformed, "the event belongs to another attempt");
    if (index != m_nextIndex)
        return failure(BackendErrorCode::Malformed, "tokens are missing or stand twice at " + std::to_string(m_nextIndex));
    m_done = isEnd;
    if (isEnd)
        return std::optional<TokenEvent>();
    ++m_nextIndex;
    return std::optional<TokenEvent>({ index, std::move(token) });
}

} // namespace hemlockchute
