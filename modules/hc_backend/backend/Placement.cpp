#include "hemlockchute/backend/Placement.h"

#include "backend/placement.capnp.h"
#include "hemlockchute/settings/SettingsFile.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace hemlockchute {
namespace {

/** Limit on the words of a message; longer ones are rejected before they are parsed. */
constexpr std::size_t maximumMessageWords = std::size_t(8) << 20U;
constexpr std::uint64_t traversalLimitWords = std::uint64_t(64) << 20U;

ByteString bytesOf(capnp::MallocMessageBuilder& message)
{
    kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    auto bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

/** Calls `read` with the message's root; a malformed message gives an error. */
template <typename Root, typename T, typename Read>
Result<T, PlacementCodecErrorCode> readMessage(std::string_view bytes, Read read)
{
    std::size_t count = bytes.size() / sizeof(capnp::word);
    if (bytes.size() % sizeof(capnp::word) != 0 || count > maximumMessageWords)
        return failure(PlacementCodecErrorCode::Malformed, "not a message of whole words");
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(count);
    if (count > 0)
        std::memcpy(words.begin(), bytes.data(), bytes.size());
    Result<T, PlacementCodecErrorCode> result;
    auto fault = kj::runCatchingExceptions([&] {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = traversalLimitWords;
        capnp::FlatArrayMessageReader reader(words, options);
        result = read(reader.getRoot<Root>());
    });
    KJ_IF_MAYBE (exception, fault)
        return failure(PlacementCodecErrorCode::Malformed, std::string(exception->getDescription().cStr()));
    return result;
}

std::string textOf(capnp::Text::Reader text)
{
    return { text.begin(), text.size() };
}

//==============================================================================
void writeDemand(const ModelName& name, const ModelDemand& demand, wire::ModelDemand::Builder builder)
{
    builder.setModel(name.text());
    builder.setWaiting(demand.waiting);
    builder.setBestRankOrder(demand.bestRankOrder);
    builder.setOldestWaitNanoseconds(demand.oldestWait.count());
    builder.setArrivals(demand.arrivals);
    auto adapters = builder.initAdapters(static_cast<unsigned>(demand.adapters.size()));
    unsigned at = 0;
    for (const auto& [adapter, waiting] : demand.adapters) {
        adapters[at].setAdapter(adapter.text());
        adapters[at++].setWaiting(waiting);
    }
}

ModelDemand readDemand(wire::ModelDemand::Reader reader)
{
    ModelDemand demand { reader.getWaiting(), reader.getBestRankOrder(), Duration(reader.getOldestWaitNanoseconds()), reader.getArrivals(), {} };
    for (auto adapter : reader.getAdapters())
        demand.adapters.emplace(textOf(adapter.getAdapter()), adapter.getWaiting());
    return demand;
}

void writeEngine(const PlacedEngine& engine, wire::PlacedEngine::Builder builder)
{
    builder.setName(engine.name.text());
    builder.setEndpoint(formatEndpoint(engine.endpoint));
    builder.setProtocol(engine.protocol);
    builder.setTakesNewWork(engine.takesNewWork);
    builder.setRunning(engine.running);
    builder.setQueued(engine.queued);
    builder.setSlots(engine.slots);
    builder.setLagNanoseconds(engine.lag.count());
    auto models = builder.initModels(static_cast<unsigned>(engine.models.size()));
    unsigned at = 0;
    for (const auto& [model, adapters] : engine.models) {
        models[at].setModel(model.text());
        auto names = models[at++].initAdapters(static_cast<unsigned>(adapters.size()));
        for (unsigned i = 0; i < adapters.size(); ++i)
            names.set(i, adapters[i].text());
    }
}

Result<PlacedEngine, PlacementCodecErrorCode> readEngine(wire::PlacedEngine::Reader reader)
{
    PlacedEngine engine;
    engine.name = BackendServerName(textOf(reader.getName()));
    auto endpoint = parseEndpoint(textOf(reader.getEndpoint()));
    if (!endpoint)
        return failure(PlacementCodecErrorCode::Malformed, "endpoint of " + engine.name.text() + " is not an IP number and port");
    engine.endpoint = *endpoint;
    engine.protocol = textOf(reader.getProtocol());
    engine.takesNewWork = reader.getTakesNewWork();
    engine.running = reader.getRunning();
    engine.queued = reader.getQueued();
    engine.slots = reader.getSlots();
    engine.lag = Duration(reader.getLagNanoseconds());
    for (auto model : reader.getModels()) {
        std::vector<AdapterName> adapters;
        for (auto adapter : model.getAdapters())
            adapters.emplace_back(textOf(adapter));
        engine.models.emplace(textOf(model.getModel()), std::move(adapters));
    }
    return engine;
}

} // namespace

//==============================================================================
ByteString encodeDemandReport(const DemandReport& report)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::DemandReport>();
    root.setRouter(report.router.text());
    auto models = root.initModels(static_cast<unsigned>(report.models.size()));
    unsigned at = 0;
    for (const auto& [model, demand] : report.models)
        writeDemand(model, demand, models[at++]);
    return bytesOf(message);
}

Result<DemandReport, PlacementCodecErrorCode> decodeDemandReport(std::string_view bytes)
{
    return readMessage<wire::DemandReport, DemandReport>(bytes, [](wire::DemandReport::Reader root) -> Result<DemandReport, PlacementCodecErrorCode> {
        DemandReport report { HostName(textOf(root.getRouter())), {} };
        for (auto model : root.getModels())
            report.models.emplace(textOf(model.getModel()), readDemand(model));
        return report;
    });
}

ByteString encodePlacementView(const PlacementView& view)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::PlacementView>();
    root.setIsLeader(view.isLeader);
    root.setLeader(view.leader.text());
    auto engines = root.initEngines(static_cast<unsigned>(view.engines.size()));
    for (unsigned i = 0; i < view.engines.size(); ++i)
        writeEngine(view.engines[i], engines[i]);
    auto ready = root.initReadyIn(static_cast<unsigned>(view.readyIn.size()));
    unsigned at = 0;
    for (const auto& [model, duration] : view.readyIn) {
        ready[at].setModel(model.text());
        ready[at++].setNanoseconds(duration.count());
    }
    return bytesOf(message);
}

Result<PlacementView, PlacementCodecErrorCode> decodePlacementView(std::string_view bytes)
{
    return readMessage<wire::PlacementView, PlacementView>(bytes, [](wire::PlacementView::Reader root) -> Result<PlacementView, PlacementCodecErrorCode> {
        PlacementView view;
        view.isLeader = root.getIsLeader();
        view.leader = HostName(textOf(root.getLeader()));
        for (auto reader : root.getEngines()) {
            auto engine = readEngine(reader);
            if (!engine)
                return tl::unexpected(engine.error());
            view.engines.push_back(std::move(*engine));
        }
        for (auto ready : root.getReadyIn())
            view.readyIn.emplace(textOf(ready.getModel()), Duration(ready.getNanoseconds()));
        return view;
    });
}

} // namespace hemlockchute
