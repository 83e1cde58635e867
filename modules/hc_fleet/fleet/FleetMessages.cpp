#include "hemlockchute/fleet/FleetMessages.h"

#include "fleet/Fleet.capnp.h"
#include "hemlockchute/peer/MessageBytes.h"

#include <limits>

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

/** Clamps to 32 bits. */
std::uint32_t clampTo32Bits(std::uint64_t value)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, std::numeric_limits<std::uint32_t>::max()));
}

void write(fleetwire::Loads::Builder to, const std::vector<ServerOutstanding>& from)
{
    auto servers = to.initServers(sizeOf(from));
    auto requests = to.initRequests(sizeOf(from));
    auto unreadTokens = to.initUnreadTokens(sizeOf(from));
    for (unsigned i = 0; i < from.size(); ++i) {
        servers.set(i, clampTo32Bits(from[i].server.value()));
        requests.set(i, from[i].load.requests);
        unreadTokens.set(i, clampTo32Bits(from[i].load.unreadTokens));
    }
    // Left out where requests state no tokens, since replies list many servers and every gateway receives several per second.
    if (std::none_of(from.begin(), from.end(), [](const ServerOutstanding& each) { return each.load.heldTokens > 0; }))
        return;
    auto heldTokens = to.initHeldTokens(sizeOf(from));
    for (unsigned i = 0; i < from.size(); ++i)
        heldTokens.set(i, clampTo32Bits(from[i].load.heldTokens));
}

/** Nothing if the lists differ in length. */
std::optional<std::vector<ServerOutstanding>> read(fleetwire::Loads::Reader from)
{
    auto servers = from.getServers();
    auto requests = from.getRequests();
    auto unreadTokens = from.getUnreadTokens();
    auto heldTokens = from.getHeldTokens();
    bool countsHeldTokens = heldTokens.size() > 0;
    if (servers.size() != requests.size() || servers.size() != unreadTokens.size() || (countsHeldTokens && servers.size() != heldTokens.size()))
        return std::nullopt;
    std::vector<ServerOutstanding> all;
    all.reserve(servers.size());
    for (unsigned i = 0; i < servers.size(); ++i)
        all.push_back({ ServerHandle(servers[i]), { requests[i], unreadTokens[i], countsHeldTokens ? heldTokens[i] : 0 } });
    return all;
}

void write(fleetwire::Server::Builder to, const FleetEntry& entry)
{
    const ListedServer& server = entry.server;
    to.setHandle(clampTo32Bits(entry.handle.value()));
    to.setRevision(entry.revision);
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

/** Nothing if the address is invalid. */
std::optional<FleetEntry> read(fleetwire::Server::Reader from)
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
    return FleetEntry { std::move(server), ServerHandle(from.getHandle()), from.getRevision() };
}

void write(fleetwire::Departure::Builder to, const ServerDeparture& departure)
{
    to.setServer(departure.server.text());
    to.setRevision(departure.revision);
}

void write(fleetwire::ServerLife::Builder to, const ServerIncarnation& from)
{
    to.setServer(from.server.text());
    to.setStartedAt(from.startedAt);
}

template <typename Builder>
void writeLives(Builder to, const std::vector<ServerIncarnation>& from)
{
    for (unsigned i = 0; i < from.size(); ++i)
        write(to[i], from[i]);
}

ServerIncarnation read(fleetwire::ServerLife::Reader from)
{
    return { BackendServerName(textOf(from.getServer())), from.getStartedAt() };
}

void write(capnp::List<std::uint64_t>::Builder to, const std::vector<PromptPartKey>& from)
{
    for (unsigned i = 0; i < from.size(); ++i)
        to.set(i, from[i].value());
}

std::vector<PromptPartKey> read(capnp::List<std::uint64_t>::Reader from)
{
    std::vector<PromptPartKey> all;
    for (std::uint64_t part : from)
        all.emplace_back(part);
    return all;
}

void write(capnp::List<fleetwire::SuspectPart>::Builder to, const std::vector<SuspectPart>& from)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        to[i].setPart(from[i].part.value());
        to[i].setIsQuarantined(from[i].isQuarantined);
        to[i].setNanosecondsUntilTrial(from[i].untilTrial.count());
        to[i].setFailedTrials(from[i].failedTrials);
    }
}

std::vector<SuspectPart> read(capnp::List<fleetwire::SuspectPart>::Reader from)
{
    std::vector<SuspectPart> all;
    for (auto suspect : from)
        all.push_back({ PromptPartKey(suspect.getPart()), suspect.getIsQuarantined(), Duration(suspect.getNanosecondsUntilTrial()), suspect.getFailedTrials() });
    return all;
}

void write(fleetwire::PromptPartReport::Builder to, const PromptPartReport& report, Instant now)
{
    auto crashes = to.initCrashes(sizeOf(report.crashes));
    for (unsigned i = 0; i < report.crashes.size(); ++i) {
        const ServerCrash& crash = report.crashes[i];
        write(crashes[i].initServer(), crash.server);
        write(crashes[i].initParts(sizeOf(crash.parts)), crash.parts);
        crashes[i].setSentNanosecondsAgo((now - crash.sent).count());
        crashes[i].setEndedNanosecondsAgo((now - crash.ended).count());
    }
    auto progress = to.initProgress(sizeOf(report.progress));
    for (unsigned i = 0; i < report.progress.size(); ++i) {
        progress[i].setPart(report.progress[i].part.value());
        progress[i].setNanosecondsAgo((now - report.progress[i].at).count());
    }
    std::vector<PromptPartKey> alone;
    std::vector<std::vector<PromptPartKey>> together;
    for (const std::vector<PromptPartKey>& parts : report.refused) {
        if (parts.size() == 1)
            alone.push_back(parts.front());
        else
            together.push_back(parts);
    }
    write(to.initRefused(sizeOf(alone)), alone);
    auto sets = to.initRefusedTogether(sizeOf(together));
    for (unsigned i = 0; i < together.size(); ++i)
        write(sets.init(i, sizeOf(together[i])), together[i]);
    write(to.initQuarantined(sizeOf(report.quarantined)), report.quarantined);
}

PromptPartReport read(fleetwire::PromptPartReport::Reader from, Instant now)
{
    PromptPartReport report;
    for (auto crash : from.getCrashes())
        report.crashes.push_back({ read(crash.getServer()), read(crash.getParts()), now - Duration(crash.getSentNanosecondsAgo()), now - Duration(crash.getEndedNanosecondsAgo()) });
    for (auto progress : from.getProgress())
        report.progress.push_back({ PromptPartKey(progress.getPart()), now - Duration(progress.getNanosecondsAgo()) });
    for (PromptPartKey part : read(from.getRefused()))
        report.refused.push_back({ part });
    for (auto parts : from.getRefusedTogether())
        report.refused.push_back(read(parts));
    report.quarantined = read(from.getQuarantined());
    return report;
}

void write(capnp::List<fleetwire::RateLimit>::Builder to, const std::vector<RateLimitNotice>& from, Instant now)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        write(to[i].initServer(), from[i].server);
        to[i].setIsInForce(from[i].limit.has_value());
        to[i].setPerSecond(from[i].limit.value_or(RequestRate()).perSecond);
        to[i].setSentNanosecondsAgo((now - from[i].sent).count());
        to[i].setReceivedNanosecondsAgo((now - from[i].received).count());
    }
}

std::vector<RateLimitNotice> read(capnp::List<fleetwire::RateLimit>::Reader from, Instant now)
{
    std::vector<RateLimitNotice> all;
    for (auto each : from) {
        RateLimitNotice notice { read(each.getServer()), std::nullopt, now - Duration(each.getSentNanosecondsAgo()), now - Duration(each.getReceivedNanosecondsAgo()) };
        if (each.getIsInForce() && each.getPerSecond() >= 0)
            notice.limit = RequestRate { each.getPerSecond() };
        all.push_back(std::move(notice));
    }
    return all;
}

void write(capnp::List<fleetwire::RateDemand>::Builder to, const std::vector<RateDemand>& from)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        write(to[i].initServer(), from[i].server);
        to[i].setRank(from[i].rank);
        to[i].setRequests(from[i].requests);
    }
}

std::vector<RateDemand> read(capnp::List<fleetwire::RateDemand>::Reader from)
{
    std::vector<RateDemand> all;
    for (auto each : from)
        all.push_back({ read(each.getServer()), each.getRank(), each.getRequests() });
    return all;
}

void write(capnp::List<fleetwire::RateGrant>::Builder to, const std::vector<RateGrant>& from)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        write(to[i].initServer(), from[i].server);
        to[i].setRank(from[i].rank);
        to[i].setRequests(from[i].requests);
        to[i].setRemainingNanoseconds(from[i].remaining.count());
        to[i].setWaiting(from[i].waiting);
    }
}

std::vector<RateGrant> read(capnp::List<fleetwire::RateGrant>::Reader from)
{
    std::vector<RateGrant> all;
    for (auto each : from)
        all.push_back({ read(each.getServer()), each.getRank(), each.getRequests(), Duration(each.getRemainingNanoseconds()), each.getWaiting() });
    return all;
}

void write(capnp::List<fleetwire::QuotaReport>::Builder to, const std::vector<QuotaReport>& from)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        to[i].setWorkspace(from[i].workspace.text());
        to[i].setHeld(from[i].held);
        to[i].setWaiting(from[i].waiting);
        to[i].setRefused(from[i].refused);
        to[i].setReserve(from[i].reserve);
        to[i].setReturned(from[i].returned);
        to[i].setRequestCost(from[i].requestCost);
    }
}

std::vector<QuotaReport> read(capnp::List<fleetwire::QuotaReport>::Reader from)
{
    std::vector<QuotaReport> all;
    for (auto each : from)
        all.push_back({ WorkspaceName(textOf(each.getWorkspace())), each.getHeld(), each.getWaiting(), each.getRefused(), each.getReserve(), each.getReturned(), each.getRequestCost() });
    return all;
}

void write(capnp::List<fleetwire::QuotaGrant>::Builder to, const std::vector<QuotaGrant>& from)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        to[i].setWorkspace(from[i].workspace.text());
        to[i].setGranted(from[i].granted);
        to[i].setIsScarce(from[i].isScarce);
        to[i].setIsExhausted(from[i].isExhausted);
        to[i].setNanosecondsUntilRoom(from[i].untilRoom.count());
    }
}

std::vector<QuotaGrant> read(capnp::List<fleetwire::QuotaGrant>::Reader from)
{
    std::vector<QuotaGrant> all;
    for (auto each : from)
        all.push_back({ WorkspaceName(textOf(each.getWorkspace())), each.getGranted(), each.getIsScarce(), each.getIsExhausted(), Duration(each.getNanosecondsUntilRoom()) });
    return all;
}

/** The age on the wire of a reply that confirms no version. */
constexpr std::int64_t notConfirmed = -1;

/** The list age on the wire when a coordinator has no list. */
constexpr std::int64_t noList = -1;

} // namespace

//==============================================================================
ByteString encodeFollowRequest(const FollowRequest& request)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<fleetwire::FollowRequest>();
    root.setHost(request.host.text());
    root.setConfiguration(request.configuration.value());
    root.setConfigurationPartOf(request.configurationPartOf.value());
    root.setConfigurationOffset(request.configurationOffset);
    root.setEpoch(request.epoch);
    root.setRevision(request.revision);
    auto demands = root.initDemands(sizeOf(request.demands));
    for (unsigned i = 0; i < request.demands.size(); ++i)
        write(demands[i], request.demands[i]);
    write(root.initLoads(), request.outstanding);
    root.setGateways(request.gateways);
    root.setIsLast(request.isLast);
    writeLives(root.initLeaving(sizeOf(request.leaving)), request.leaving);
    writeLives(root.initEnded(sizeOf(request.ended)), request.ended);
    write(root.initPromptParts(), request.promptParts, currentTime());
    write(root.initRateLimits(sizeOf(request.rateLimits)), request.rateLimits, currentTime());
    write(root.initRateDemands(sizeOf(request.rateDemands)), request.rateDemands);
    write(root.initQuotaReports(sizeOf(request.quotaReports)), request.quotaReports);
    root.setRelay(request.relay.value());
    root.setDataCentre(request.dataCentre.text());
    return messageBytes(message);
}

FleetMessageResult<FollowRequest> decodeFollowRequest(std::string_view bytes)
{
    return readFleetMessage<fleetwire::FollowRequest, FollowRequest>(bytes, [](auto root) -> FleetMessageResult<FollowRequest> {
        FollowRequest request;
        request.host = HostName(textOf(root.getHost()));
        request.configuration = ConfigurationVersion(root.getConfiguration());
        request.configurationPartOf = ConfigurationVersion(root.getConfigurationPartOf());
        request.configurationOffset = root.getConfigurationOffset();
        request.epoch = root.getEpoch();
        request.revision = root.getRevision();
        for (auto demand : root.getDemands())
            request.demands.push_back(read(demand));
        auto loads = read(root.getLoads());
        if (!loads)
            return failure(FleetMessageErrorCode::Malformed, "a server's load cannot be read");
        request.outstanding = std::move(*loads);
        request.gateways = root.getGateways();
        request.isLast = root.getIsLast();
        for (auto life : root.getLeaving())
            request.leaving.push_back(read(life));
        for (auto life : root.getEnded())
            request.ended.push_back(read(life));
        request.promptParts = read(root.getPromptParts(), currentTime());
        request.rateLimits = read(root.getRateLimits(), currentTime());
        request.rateDemands = read(root.getRateDemands());
        request.quotaReports = read(root.getQuotaReports());
        request.relay = KeeperId(root.getRelay());
        request.dataCentre = DataCentreName(textOf(root.getDataCentre()));
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
    root.setConfigurationSize(reply.configurationSize);
    root.setConfigurationOffset(reply.configurationOffset);
    root.setEpoch(reply.epoch);
    root.setRevision(reply.revision);
    root.setIsWhole(reply.isWhole);
    auto servers = root.initServers(sizeOf(reply.servers));
    for (unsigned i = 0; i < reply.servers.size(); ++i)
        write(servers[i], reply.servers[i]);
    auto gone = root.initGone(sizeOf(reply.gone));
    for (unsigned i = 0; i < reply.gone.size(); ++i)
        write(gone[i], reply.gone[i]);
    root.setListAgeNanoseconds(reply.listAge ? reply.listAge->count() : noList);
    auto expectations = root.initExpectations(sizeOf(reply.expectations));
    for (unsigned i = 0; i < reply.expectations.size(); ++i) {
        expectations[i].setService(reply.expectations[i].service.text());
        expectations[i].setModel(reply.expectations[i].model.text());
        expectations[i].setRemainingNanoseconds(reply.expectations[i].remaining.count());
    }
    write(root.initLoads(), reply.outstanding);
    root.setGateways(reply.gateways);
    root.setFollowers(reply.followers);
    root.setHasMore(reply.hasMore);
    root.setAgeNanoseconds(reply.age.count());
    auto relays = root.initRelays(sizeOf(reply.relays));
    for (unsigned i = 0; i < reply.relays.size(); ++i) {
        relays[i].setCoordinator(reply.relays[i].coordinator.value());
        relays[i].setDataCentre(reply.relays[i].dataCentre.text());
    }
    write(root.initSuspectParts(sizeOf(reply.suspectParts)), reply.suspectParts);
    write(root.initTrialParts(sizeOf(reply.trialParts)), reply.trialParts);
    write(root.initRateLimits(sizeOf(reply.rateLimits)), reply.rateLimits, currentTime());
    write(root.initRateGrants(sizeOf(reply.rateGrants)), reply.rateGrants);
    root.setConfirmedNanosecondsAgo(reply.confirmedAge ? reply.confirmedAge->count() : notConfirmed);
    write(root.initQuotaGrants(sizeOf(reply.quotaGrants)), reply.quotaGrants);
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
        reply.configurationSize = root.getConfigurationSize();
        reply.configurationOffset = root.getConfigurationOffset();
        reply.epoch = root.getEpoch();
        reply.revision = root.getRevision();
        reply.isWhole = root.getIsWhole();
        for (auto each : root.getServers()) {
            auto server = read(each);
            if (!server)
                return failure(FleetMessageErrorCode::Malformed, "a server's address cannot be read");
            reply.servers.push_back(std::move(*server));
        }
        for (auto departure : root.getGone())
            reply.gone.push_back({ BackendServerName(textOf(departure.getServer())), departure.getRevision() });
        if (root.getListAgeNanoseconds() != noList)
            reply.listAge = Duration(root.getListAgeNanoseconds());
        for (auto expectation : root.getExpectations())
            reply.expectations.push_back({ ServiceName(textOf(expectation.getService())), ModelName(textOf(expectation.getModel())), Duration(expectation.getRemainingNanoseconds()) });
        auto loads = read(root.getLoads());
        if (!loads)
            return failure(FleetMessageErrorCode::Malformed, "a server's load cannot be read");
        reply.outstanding = std::move(*loads);
        reply.gateways = root.getGateways();
        reply.followers = root.getFollowers();
        reply.hasMore = root.getHasMore();
        reply.age = Duration(root.getAgeNanoseconds());
        for (auto relay : root.getRelays())
            reply.relays.push_back({ KeeperId(relay.getCoordinator()), DataCentreName(textOf(relay.getDataCentre())) });
        reply.suspectParts = read(root.getSuspectParts());
        reply.trialParts = read(root.getTrialParts());
        reply.rateLimits = read(root.getRateLimits(), currentTime());
        reply.rateGrants = read(root.getRateGrants());
        if (root.getConfirmedNanosecondsAgo() >= 0)
            reply.confirmedAge = Duration(root.getConfirmedNanosecondsAgo());
        reply.quotaGrants = read(root.getQuotaGrants());
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
