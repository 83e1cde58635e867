#include "coordinator/Coordinator.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/fleet/FollowIntervals.h"

#include <algorithm>
#include <cstdlib>
#include <random>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

/** Ticks of the group per heartbeat interval. */
constexpr int ticksPerHeartbeat = 3;
constexpr Duration messageTimeout = 1s;
/** Limit of pending messages to one coordinator; further ones are dropped. */
constexpr unsigned maximumPendingMessages = 64;
/** A coordinator that has known no leader for this long asks to join the group. */
constexpr Duration leaderlessTimeout = 1s;
constexpr Duration joinRequestInterval = 500ms;
constexpr Duration membershipInterval = 200ms;
/** Added to the order lease to cover orders of the former leader that are still in flight. */
constexpr Duration orderMargin = 500ms;

/** Limit of an answer to a list, report or order request. */
constexpr std::size_t maximumAnswerBytes = 4U << 20U;
/** Limit of all of them together, as the reports of all servers are read at about the same time. */
constexpr std::size_t maximumTotalAnswerBytes = 16U << 20U;

/** Distance between the first epochs of two terms; FleetTable also starts a new epoch by itself after many departures. */
constexpr std::uint64_t epochsPerTerm = 1U << 16U;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** For the log; long lists are cut. */
std::string partsText(const std::vector<PromptPartKey>& parts)
{
    constexpr std::size_t maximumParts = 8;
    std::string text;
    for (std::size_t i = 0; i < std::min(parts.size(), maximumParts); ++i)
        text += (i == 0 ? "" : ",") + std::to_string(parts[i].value());
    return text;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    return (std::uint64_t(device()) << halfBits) | device();
}

ReplicatedGroup::Options groupOptions(const CoordinatorSettings& settings, IncarnationId next)
{
    ReplicatedGroup::Options options;
    options.replica = Replica::Options().withHeartbeatInterval(settings.heartbeatInterval).withElectionTimeout(settings.electionTimeout).withSeed(randomSeed());
    options.nextIncarnation = next;
    return options;
}

/** A majority must survive the tolerated losses; never fewer voters than initial members. */
VoterPolicy::Options voterOptions(const CoordinatorSettings& settings)
{
    VoterPolicy::Options options;
    options.voters = std::max<std::size_t>(settings.seeds.size(), 2 * settings.toleratedLosses + 1);
    return options;
}

/** The leader reads the list on behalf of every gateway, hence more often than a gateway would. */
ListingPoller::Options listingOptions()
{
    ListingPoller::Options options;
    options.interval = 600ms;
    options.maximumBackOff = 1200ms;
    return options;
}

PlacementDirector::Options directorOptions(const CoordinatorSettings& settings)
{
    PlacementDirector::Options options;
    options.issuer = settings.host;
    options.placer = options.placer.withStoreLoadsAtOnce(settings.storeLoadsAtOnce);
    return options;
}

} // namespace

//==============================================================================
Coordinator::Coordinator(asio::io_context& context, const CoordinatorSettings& settings, const FleetPlatform& platform, std::unique_ptr<KeeperDisk> disk, IncarnationId next, OpenDisk reopen)
    : m_context(context)
    , m_settings(settings)
    , m_platform(platform)
    , m_id(keeperIdOf(settings.peers))
    , m_client(context, { settings.clusterName, settings.clusterKey, settings.host, "coordinator" }, PeerClient::Options())
    , m_server(context, { settings.clusterName, settings.clusterKey, settings.host, "coordinator" })
    , m_http(HttpClient::Options().withMaximumBodyBytes(maximumAnswerBytes).withMaximumTotalBodyBytes(maximumTotalAnswerBytes))
    , m_group(m_id, std::move(disk), groupOptions(settings, next), m_clock, m_register,
          { [this](const AgreementMessage& message) { send(message); }, [this] { asio::post(m_context, [this] { applyAgreedConfiguration(); }); }, endProcess, std::move(reopen) })
    , m_voters(voterOptions(settings))
    , m_director(context, platform, m_http, m_metrics, directorOptions(settings), [this] { return authority(); })
    , m_quotas(settings.quotas)
    , m_relay(context, m_client, { settings.host, m_id, settings.dataCentre }, FleetRelay::Options(), { [this] { return otherLeader(); }, [this] { return m_register.current()->version; } })
    , m_listing(context, platform, m_http, settings.listing, listingOptions(), [this](const std::vector<ListedServer>& servers, Instant asked) { m_director.updateListing(servers, asked); })
    , m_requestMemory(RequestBufferBudget::withBytes(settings.requestMemory))
    , m_operators(
          context, HttpServer::Options().withSingleThread(), [this](HttpExchange& exchange) { return answer(exchange); }, m_requestMemory)
    , m_metricsPage(
          context, HttpServer::Options().withSingleThread(), [this](HttpExchange& exchange) { return answerMetrics(exchange); }, m_requestMemory)
    , m_timer(context)
    , m_seeds(settings.seeds.begin(), settings.seeds.end())
{
}

Coordinator::~Coordinator()
{
    m_group.stop();
}

Result<void, RoleErrorCode> Coordinator::start()
{
    if (auto started = m_group.start(); !started)
        return failureBecause(RoleErrorCode::StateUnusable, started.error());
    bool isFounder = m_settings.isFirstStart && m_group.identity().incarnation == foundingIncarnation();
    if (isFounder) {
        Membership founders;
        for (const Endpoint& seed : m_settings.seeds)
            founders.voters.insert({ keeperIdOf(seed), foundingIncarnation() });
        m_group.bootstrap(founders);
    }
    applyAgreedConfiguration();
    serveCalls();
    if (auto listening = m_server.listen(m_settings.listenPeers); !listening)
        return failureBecause(RoleErrorCode::ListenFailed, listening.error());
    if (auto listening = m_operators.listen(m_settings.operators); !listening)
        return failureBecause(RoleErrorCode::ListenFailed, listening.error());
    if (m_settings.metrics) {
        if (auto listening = m_metricsPage.listen(*m_settings.metrics); !listening)
            return failureBecause(RoleErrorCode::ListenFailed, listening.error());
    }
    logEvent(EventId::CoordinatorStarted, { { "id", m_id }, { "incarnation", m_group.identity().incarnation }, { "founder", isFounder }, { "version", m_register.current()->version } });
    // A leader does not contact a coordinator that is not in the membership, so a blank one asks to join at once.
    bool knowsGroup = isFounder || !m_group.isUninitialised();
    m_lastLeaderContact = knowsGroup ? m_clock.now() : m_clock.now() - leaderlessTimeout;
    m_listing.setActive(false);
    m_listing.start();
    m_relay.start();
    tick();
    return {};
}

void Coordinator::reload(const CoordinatorSettings& settings)
{
    m_seeds.insert(settings.seeds.begin(), settings.seeds.end());
}

//==============================================================================
// The group

void Coordinator::tick()
{
    if (m_isStopping)
        return;
    Instant now = m_clock.now();
    m_group.tick();
    requestMembership(now);
    updateMembership(now);
    updateOrderAuthority(now);
    m_timer.expires_after(m_settings.heartbeatInterval / ticksPerHeartbeat);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

/** Runs on the group's thread. */
void Coordinator::send(const AgreementMessage& message)
{
    KeeperId to = message.to.keeper;
    {
        std::lock_guard guard(m_sendLock);
        if (m_pendingMessages[to] >= maximumPendingMessages)
            return;
        ++m_pendingMessages[to];
    }
    m_client.call(endpointOf(to), PeerMethod::Agreement, encodeMessage(message), messageTimeout, [this, to](const Result<ByteString, PeerErrorCode>&) {
        std::lock_guard guard(m_sendLock);
        --m_pendingMessages[to];
    });
}

/** Asks the other coordinators to let this one join, while it knows no leader. */
void Coordinator::requestMembership(Instant now)
{
    GroupStatus status = m_group.status();
    if (status.leader)
        m_lastLeaderContact = now;
    if (now - m_lastLeaderContact < leaderlessTimeout || now < m_nextJoinRequest)
        return;
    m_nextJoinRequest = now + joinRequestInterval;
    ByteString self = encodeMembership({ {}, { status.self } });
    for (const Endpoint& other : otherCoordinators()) {
        m_client.call(other, PeerMethod::JoinGroup, self, messageTimeout, [this](const Result<ByteString, PeerErrorCode>& bytes) {
            if (!bytes)
                return;
            auto reply = decodeKeeperReply(*bytes);
            if (!reply || reply->leader.isNone())
                return;
            m_seeds.insert(endpointOf(reply->leader));
            m_namedLeader = NamedLeader { reply->leader, currentTime() };
        });
    }
}

void Coordinator::updateMembership(Instant now)
{
    if (now < m_nextMembershipUpdate || !m_group.holdsLease())
        return;
    m_nextMembershipUpdate = now + membershipInterval;
    GroupStatus status = m_group.status();
    auto next = m_voters.nextMembership(status, now);
    if (!next)
        return;
    auto changed = m_group.changeMembership(*next);
    logEvent(EventId::CoordinatorMembersChanged, { { "voters", next->voters.size() }, { "learners", next->learners.size() }, { "former_voters", status.membership.voters.size() }, { "former_learners", status.membership.learners.size() }, { "outcome", changed ? "proposed" : changed.error().detail } });
}

/** Starts a new epoch when this coordinator becomes leader. Orders start once a former leader's have expired, and stop with the leader lease. */
void Coordinator::updateOrderAuthority(Instant now)
{
    GroupStatus status = m_group.status();
    if (status.isLeader && m_leadTerm != status.term) {
        m_leadTerm = status.term;
        m_leadingSince = now;
        m_director.beginEpoch(status.term.value() * epochsPerTerm);
        m_quarantine = PromptPartQuarantine(PromptPartQuarantine::Options());
        for (const SuspectPart& known : m_relay.quarantined(currentTime()))
            m_quarantine.adopt(known, currentTime());
        m_rateLimits = ServerRateLimits(ServerRateLimits::Options());
        m_rateGrants = RateGrantPool(RateGrantPool::Options());
        for (const RateLimitNotice& known : m_relay.rateLimits())
            m_rateLimits.note(known);
        m_quotas.beginTerm(now);
    }
    m_listing.setActive(status.isLeader);
    bool gives = authority().has_value();
    if (gives != std::exchange(m_givesOrders, gives))
        logEvent(gives ? EventId::CoordinatorGivesOrders : EventId::CoordinatorOrdersEnded, { { "term", m_leadTerm } });
    m_director.tick(std::chrono::steady_clock::now());
}

std::optional<FencingNumber> Coordinator::authority() const
{
    bool isFormerLeaseActive = m_clock.now() - m_leadingSince < m_settings.orderLease + orderMargin;
    if (m_leadTerm.isNone() || isFormerLeaseActive || !m_group.holdsLease() || m_group.status().term != m_leadTerm)
        return std::nullopt;
    return FencingNumber(m_leadTerm.value());
}

void Coordinator::applyAgreedConfiguration()
{
    auto agreed = m_register.current();
    if (agreed->version.isNone())
        return;
    auto configuration = m_platform.decodeConfiguration(agreed->body);
    if (configuration) {
        m_quotas.setQuotas((*configuration)->workspaces(), m_clock.now());
        m_director.setConfiguration(std::move(*configuration));
    } else
        logEvent(EventId::GatewayConfigurationUnreadable, { { "version", agreed->version }, { "reason", configuration.error().detail } });
}

std::vector<Endpoint> Coordinator::otherCoordinators() const
{
    std::set<Endpoint> all = m_seeds;
    Membership membership = m_group.status().membership;
    for (const ReplicaId& id : membership.voters)
        all.insert(endpointOf(id.keeper));
    for (const ReplicaId& id : membership.learners)
        all.insert(endpointOf(id.keeper));
    all.erase(m_settings.peers);
    return { all.begin(), all.end() };
}

//==============================================================================
// Other processes

void Coordinator::serveCalls()
{
    m_server.handle(PeerMethod::Agreement, [this](PeerCall call) { serveAgreement(std::move(call)); });
    m_server.handle(PeerMethod::FollowFleet, [this](PeerCall call) { serveFollow(std::move(call)); });
    m_server.handle(PeerMethod::JoinGroup, [this](PeerCall call) { serveJoin(std::move(call)); });
    m_server.handle(PeerMethod::LeaveGroup, [this](PeerCall call) { serveLeave(std::move(call)); });
    m_server.handle(PeerMethod::SubmitConfiguration, [this](PeerCall call) { servePropose(std::move(call)); });
    m_server.handle(PeerMethod::ReadConfiguration, [this](PeerCall call) { serveRead(std::move(call)); });
}

void Coordinator::serveAgreement(PeerCall call)
{
    auto message = decodeMessage(call.payload);
    if (!message || call.callerRole != "coordinator") {
        call.reply(failure(PeerErrorCode::Rejected, message ? "only coordinators take part in the agreement" : message.error().detail));
        return;
    }
    m_voters.noteContact(message->from, m_clock.now());
    m_group.receive(*message);
    call.reply(ByteString());
}

void Coordinator::serveFollow(PeerCall call)
{
    auto request = decodeFollowRequest(call.payload);
    if (!request) {
        call.reply(failureBecause(PeerErrorCode::Rejected, request.error()));
        return;
    }
    GroupStatus status = m_group.status();
    Instant now = std::chrono::steady_clock::now();
    FollowReply reply;
    if (status.leader)
        reply.leader = status.leader->keeper;
    for (const ReplicaId& id : status.membership.voters)
        reply.coordinators.push_back(id.keeper);
    for (const ReplicaId& id : status.membership.learners)
        reply.coordinators.push_back(id.keeper);
    if (m_group.holdsLease() && m_leadTerm == status.term) {
        m_hasLed = true;
        reply.isCurrent = true;
        m_director.recordDemand(*request, now);
        m_director.fill(reply, *request, now);
        reply.relays = relays(now);
        recordPromptParts(*request, reply, now);
        recordRateLimits(*request, reply, now);
        grantQuotas(*request, reply);
    } else if (request->relay.isNone()) {
        m_relay.recordDemand(*request, now);
        if (m_relay.isCurrent(now))
            m_relay.fill(reply, *request, now);
    }
    // After a restart the configuration on disk may be outdated; it is not passed on before contact with a leader.
    if (reply.isCurrent || m_hasLed || m_relay.hasCaughtUp())
        fillConfiguration(reply, *request);
    call.reply(encodeFollowReply(reply));
}

/** Evaluates what the host has seen of prompt parts that crash servers, and fills in the verdicts. */
void Coordinator::recordPromptParts(const FollowRequest& request, FollowReply& reply, Instant now)
{
    const PromptPartReport& report = request.promptParts;
    m_quarantine.expire(now);
    for (const PartProgress& progress : report.progress) {
        if (m_quarantine.noteProgress(progress, now))
            logEvent(EventId::CoordinatorPromptPartReleased, { { "part", progress.part }, { "told_by", request.host } });
    }
    for (const ServerCrash& crash : report.crashes) {
        logEvent(EventId::CoordinatorServerCrash, { { "server", crash.server.server }, { "started_at", crash.server.startedAt }, { "parts", partsText(crash.parts) }, { "told_by", request.host }, { "sent_ago_ms", milliseconds(now - crash.sent) }, { "ended_ago_ms", milliseconds(now - crash.ended) } });
        for (PromptPartKey part : m_quarantine.noteCrash(crash, now))
            logEvent(EventId::CoordinatorPromptPartQuarantined, { { "part", part }, { "told_by", request.host }, { "server", crash.server.server } });
    }
    for (const SuspectPart& known : report.quarantined) {
        if (m_quarantine.adopt(known, now))
            logEvent(EventId::CoordinatorPromptPartQuarantined, { { "part", known.part }, { "told_by", request.host }, { "server", "" } });
    }
    for (const std::vector<PromptPartKey>& parts : report.refused) {
        if (!m_quarantine.takeTrial(parts, now))
            continue;
        reply.trialParts.insert(reply.trialParts.end(), parts.begin(), parts.end());
        logEvent(EventId::CoordinatorPromptPartTrial, { { "parts", partsText(parts) }, { "at", request.host } });
    }
    reply.suspectParts = m_quarantine.suspects(now);
}

/** Records the rate limits that the host knows, and grants it requests to servers that have one. */
void Coordinator::recordRateLimits(const FollowRequest& request, FollowReply& reply, Instant now)
{
    for (const RateLimitNotice& notice : request.rateLimits) {
        if (m_rateLimits.note(notice))
            logEvent(EventId::CoordinatorServerLimited, { { "server", notice.server.server }, { "started_at", notice.server.startedAt }, { "told_by", request.host }, { "limited", notice.limit.has_value() }, { "per_second", notice.limit.value_or(RequestRate()).perSecond } });
    }
    m_rateLimits.expire(now);
    reply.rateLimits = m_rateLimits.notices();
    m_rateGrants.setLimits(reply.rateLimits, now);
    m_director.setRateLimits(reply.rateLimits);
    reply.rateGrants = m_rateGrants.take(request.host, request.rateDemands, now);
}

/** A leader that has not applied everything that was acknowledged before its term neither confirms a version nor knows the quotas. */
void Coordinator::grantQuotas(const FollowRequest& request, FollowReply& reply)
{
    if (!m_group.isStateCurrent())
        return;
    reply.confirmedAge = Duration::zero();
    if (request.isLast)
        m_quotas.forget(request.host);
    else
        reply.quotaGrants = m_quotas.take(request.host, request.quotaReports, m_clock.now());
}

/** Fills in the newest configuration known here, or a part of it, if it is newer than the one known to the requester. */
void Coordinator::fillConfiguration(FollowReply& reply, const FollowRequest& request)
{
    auto agreed = m_register.current();
    const ConfigurationBody& relayed = m_relay.configuration();
    m_compressed.fill(reply, request, relayed.version > agreed->version ? relayed : *agreed);
}

/** The coordinators that gateways should follow, including this one; empty while there are few gateways. */
std::vector<CoordinatorLocation> Coordinator::relays(Instant now)
{
    const GatewayTracker& gateways = m_director.gateways(now);
    if (gateways.gateways() < minimumGatewaysForRelays)
        return {};
    std::vector<CoordinatorLocation> all = gateways.relays();
    all.push_back({ m_id, m_settings.dataCentre });
    return all;
}

std::optional<KeeperId> Coordinator::otherLeader() const
{
    GroupStatus status = m_group.status();
    if (!status.leader || status.leader->keeper == m_id)
        return std::nullopt;
    return status.leader->keeper;
}

void Coordinator::serveJoin(PeerCall call)
{
    auto newcomer = decodeMembership(call.payload);
    if (!newcomer || newcomer->learners.size() != 1 || call.callerRole != "coordinator") {
        call.reply(failure(PeerErrorCode::Rejected, "not a coordinator that asks to be taken in"));
        return;
    }
    m_voters.noteJoinRequest(*newcomer->learners.begin(), m_clock.now());
    GroupStatus status = m_group.status();
    KeeperReply reply;
    if (status.leader)
        reply.leader = status.leader->keeper;
    call.reply(encodeKeeperReply(reply));
}

/** Proposes only a configuration that decodes as valid, since every coordinator must be able to apply it. */
void Coordinator::servePropose(PeerCall call)
{
    auto command = decodeConfigurationBody(call.payload);
    if (!command || !m_platform.decodeConfiguration(command->body)) {
        call.reply(failure(PeerErrorCode::Rejected, "not a valid configuration"));
        return;
    }
    proposeHere(call.payload, [reply = std::move(call.reply)](GroupReply answer) { reply(encodeKeeperReply(keeperReply(std::move(answer)))); });
}

void Coordinator::serveRead(PeerCall call)
{
    readHere([reply = std::move(call.reply)](GroupReply answer) { reply(encodeKeeperReply(keeperReply(std::move(answer)))); });
}

void Coordinator::proposeHere(const ByteString& body, ReplicatedGroup::Reply reply)
{
    m_group.propose(body, std::move(reply));
}

void Coordinator::readHere(ReplicatedGroup::Reply reply)
{
    m_group.read([this] { return encodeConfigurationBody(*m_register.current()); }, std::move(reply));
}

} // namespace hemlockchute
