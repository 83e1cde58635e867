#include "hemlockchute/fleet/FleetMessages.h"

#include "fleet/Fleet.capnp.h"
#include "hemlockchute/peer/MessageBytes.h"

namespace hemlockchute {
namespace {

template <typename Root, typename Value, typename Read>
FleetMessageResult<Value> readFleetMessage(std::string_view bytes, Read&& read)
{
    return readMessage<Root, Value>(bytes, FleetMessageErrorCode::Malformed, std::forward<Read>(read));
}

unsigned sizeOf(const auto& list)
{
    return static_cast<unsigned>(list.size());
}

void write(fleetwire::Demand::Builder to, const ModelDemandReport& demand)
{
    to.setService(demand.key.service.text());
    to.setModel(demand.key.model.text());
    to.setAdapter(demand.key.adapter.text());
    to.setWaiting(demand.waiting);
    to.setActive(demand.active);
    to.setArrivals(demand.arrivals);
    to.setRefused(demand.refused);
    to.setRank(demand.rank);
}

ModelDemandReport read(fleetwire::Demand::Reader from)
{
    ModelKey key { ServiceName(textOf(from.getService())), ModelName(textOf(from.getModel())), AdapterName(textOf(from.getAdapter())) };
    return { std::move(key), from.getWaiting(), from.getActive(), from.getArrivals(), from.getRefused(), from.getRank() };
}

void write(capnp::List<fleetwire::Outstanding>::Builder to, const std::vector<ServerOutstanding>& from)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        to[i].setServer(from[i].server.text());
        to[i].setRequests(from[i].load.requests);
        to[i].setUnreadTokens(from[i].load.unreadTokens);
    }
}

std::vector<ServerOutstanding> read(capnp::List<fleetwire::Outstanding>::Reader from)
{
    std::vector<ServerOutstanding> all;
    for (auto each : from)
        all.push_back({ BackendServerName(textOf(each.getServer())), { each.getRequests(), each.getUnreadTokens() } });
    return all;
}

void write(fleetwire::Server::Builder to, const ListedServer& server)
{
    to.setId(server.id.text());
    to.setService(server.service.text());
    to.setAddress(formatEndpoint(server.address));
    to.setDataCentre(server.dataCentre.text());
    to.setStartedAt(server.startedAt);
    to.setSlots(server.slots);
    to.setIsLeaving(server.isLeaving);
    auto models = to.initModels(sizeOf(server.models));
    unsigned i = 0;
    for (const auto& [model, adapters] : server.models) {
        models[i].setModel(model.text());
        auto names = models[i].initAdapters(sizeOf(adapters));
        unsigned j = 0;
        for (const AdapterName& adapter : adapters)
            names.set(j++, adapter.text());
        ++i;
    }
}

/** Nothing when the address is none. */
std::optional<ListedServer> read(fleetwire::Server::Reader from)
{
    auto address = parseEndpoint(textOf(from.getAddress()));
    if (!address)
        return std::nullopt;
    ListedServer server;
    server.id = BackendServerName(textOf(from.getId()));
    server.service = ServiceName(textOf(from.getService()));
    server.address = *address;
    server.dataCentre = DataCentreName(textOf(from.getDataCentre()));
    server.startedAt = from.getStartedAt();
    server.slots = from.getSlots();
    server.isLeaving = from.getIsLeaving();
    for (auto held : from.getModels()) {
        std::set<AdapterName>& adapters = server.models[ModelName(textOf(held.getModel()))];
        for (auto name : held.getAdapters())
            adapters.insert(AdapterName(textOf(name)));
    }
    return server;
}

/** Stands for a list that a coordinator does not have. */
constexpr std::int64_t noList = -1;

} // namespace

//==============================================================================
ByteString encodeFollowRequest(const FollowRequest& request)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<fleetwire::FollowRequest>();
    root.setHost(request.host.text());
    root.setConfiguration(request.configuration.value());
    root.setEpoch(request.epoch);
    root.setRevision(request.revision);
    auto demands = root.initDemands(sizeOf(request.demands));
    for (unsigned i = 0; i < request.demands.size(); ++i)
        write(demands[i], request.demands[i]);
    write(root.initOutstanding(sizeOf(request.outstanding)), request.outstanding);
    return messageBytes(message);
}

FleetMessageResult<FollowRequest> decodeFollowRequest(std::string_view bytes)
{
    return readFleetMessage<fleetwire::FollowRequest, FollowRequest>(bytes, [](auto root) {
        FollowRequest request;
        request.host = HostName(textOf(root.getHost()));
        request.configuration = ConfigurationVersion(root.getConfiguration());
        request.epoch = root.getEpoch();
        request.revision = root.getRevision();
        for (auto demand : root.getDemands())
            request.demands.push_back(read(demand));
        request.outstanding = read(root.getOutstanding());
        return request;
    });
}

//==============================================================================
ByteString encodeFollowReply(const FollowReply& reply)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<fleetwire::FollowReply>();
    root.setIsCurrent(reply.isCurrent);
    root.setLeader(reply.leader.value());
    auto coordinators = root.initCoordinators(sizeOf(reply.coordinators));
    for (unsigned i = 0; i < reply.coordinators.size(); ++i)
        coordinators.set(i, reply.coordinators[i].value());
    root.setVersion(reply.version.value());
    root.setConfiguration(dataOf(reply.configuration));
    root.setEpoch(reply.epoch);
    root.setRevision(reply.revision);
    root.setIsWhole(reply.isWhole);
    auto servers = root.initServers(sizeOf(reply.servers));
    for (unsigned i = 0; i < reply.servers.size(); ++i)
        write(servers[i], reply.servers[i]);
    auto gone = root.initGone(sizeOf(reply.gone));
    for (unsigned i = 0; i < reply.gone.size(); ++i)
        gone.set(i, reply.gone[i].text());
    root.setListAgeNanoseconds(reply.listAge ? reply.listAge->count() : noList);
    auto expectations = root.initExpectations(sizeOf(reply.expectations));
    for (unsigned i = 0; i < reply.expectations.size(); ++i) {
        expectations[i].setService(reply.expectations[i].service.text());
        expectations[i].setModel(reply.expectations[i].model.text());
        expectations[i].setRemainingNanoseconds(reply.expectations[i].remaining.count());
    }
    write(root.initOutstanding(sizeOf(reply.outstanding)), reply.outstanding);
    root.setGateways(reply.gateways);
    return messageBytes(message);
}

FleetMessageResult<FollowReply> decodeFollowReply(std::string_view bytes)
{
    return readFleetMessage<fleetwire::FollowReply, FollowReply>(bytes, [](auto root) -> FleetMessageResult<FollowReply> {
        FollowReply reply;
        reply.isCurrent = root.getIsCurrent();
        reply.leader = KeeperId(root.getLeader());
        for (std::uint64_t coordinator : root.getCoordinators())
            reply.coordinators.emplace_back(coordinator);
        reply.version = ConfigurationVersion(root.getVersion());
        reply.configuration = bytesOf(root.getConfiguration());
        reply.epoch = root.getEpoch();
        reply.revision = root.getRevision();
        reply.isWhole = root.getIsWhole();
        for (auto each : root.getServers()) {
            auto server = read(each);
            if (!server)
                return failure(FleetMessageErrorCode::Malformed, "a server's address cannot be read");
            reply.servers.push_back(std::move(*server));
        }
        for (auto id : root.getGone())
            reply.gone.emplace_back(textOf(id));
        if (root.getListAgeNanoseconds() != noList)
            reply.listAge = Duration(root.getListAgeNanoseconds());
        for (auto expectation : root.getExpectations())
            reply.expectations.push_back({ ServiceName(textOf(expectation.getService())), ModelName(textOf(expectation.getModel())), Duration(expectation.getRemainingNanoseconds()) });
        reply.outstanding = read(root.getOutstanding());
        reply.gateways = root.getGateways();
        return reply;
    });
}

//==============================================================================
ByteString encodeConfigurationBody(const ConfigurationBody& configuration)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<fleetwire::ConfigurationBody>();
    root.setVersion(configuration.version.value());
    root.setBody(dataOf(configuration.body));
    return messageBytes(message);
}

FleetMessageResult<ConfigurationBody> decodeConfigurationBody(std::string_view bytes)
{
    return readFleetMessage<fleetwire::ConfigurationBody, ConfigurationBody>(bytes, [](auto root) {
        return ConfigurationBody { ConfigurationVersion(root.getVersion()), bytesOf(root.getBody()) };
    });
}

} // namespace hemlockchute
