#include "keeper/Keeper.h"

#include "keeper/ClusterBootstrap.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <random>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

/** Interval of status polls to the other keepers; shorter while no leader is known. */
constexpr Duration pollInterval = 1s;
constexpr Duration pollIntervalWithoutLeader = 200ms;
constexpr Duration retryIntervalWithoutLeader = 100ms;

std::uint64_t randomSeed()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    return (std::uint64_t(device()) << halfBits) | device();
}

AgreementGroup::Options groupOptions(const KeeperSettings& settings, IncarnationId nextIncarnation)
{
    auto replica = Replica::Options().withHeartbeatInterval(settings.heartbeatInterval).withElectionTimeout(settings.electionTimeout).withSeed(randomSeed());
    return AgreementGroup::Options().withReplica(replica).withNextIncarnation(nextIncarnation).withEntriesBetweenSnapshots(settings.entriesBetweenSnapshots);
}

void merge(std::map<HostName, DocumentVersion>& into, const std::map<HostName, DocumentVersion>& from)
{
    for (const auto& [host, version] : from)
        into[host] = std::max(into[host], version);
}

} // namespace

//==============================================================================
Keeper::Keeper(asio::io_context& context, const KeeperSettings& settings, std::unique_ptr<KeeperDisk> disk, IncarnationId nextIncarnation)
    : m_context(context)
    , m_settings(settings)
    , m_identity { settings.host.clusterName, settings.host.clusterKey, settings.host.name, "keeper" }
    , m_client(context, m_identity, PeerClient::Options())
    , m_server(context, m_identity)
    , m_keepers(m_client, settings.host.keepers)
    , m_peers(m_client, settings.id, settings.host.keepers, m_clock)
    , m_documents(context)
    , m_group(settings.id, std::move(disk), groupOptions(settings, nextIncarnation), m_clock, hooks())
    , m_changer(m_group, m_peers, m_client, m_clock)
    , m_api(*this, settings.tokens, settings.host.entryHosts, {})
    , m_operators(context, {}, [this](HttpExchange& exchange) { return m_api.handle(exchange); })
    , m_strand(asio::make_strand(context))
    , m_timer(m_strand)
{
}

Keeper::~Keeper()
{
    m_group.stop();
}

AgreementGroupHooks Keeper::hooks()
{
    return { [this](const AgreementMessage& message) { m_peers.send(message); },
        [this](DocumentPointer document) { m_documents.offer(std::move(document)); }, endProcess };
}

Result<void, RoleErrorCode> Keeper::start()
{
    if (auto started = m_group.start(); !started)
        return failureBecause(RoleErrorCode::StateUnusable, started.error());
    serveCalls();
    if (auto listening = listen(); !listening)
        return listening;
    logEvent(EventId::KeeperStarted, { { "keeper", m_settings.id }, { "incarnation", m_group.identity().incarnation }, { "committed", m_group.status().committed } });
    asio::post(m_strand, [this] { tick(); });
    return {};
}

Result<void, RoleErrorCode> Keeper::listen()
{
    if (auto listening = m_server.listen(m_settings.peers); !listening)
        return failureBecause(RoleErrorCode::ListenFailed, listening.error());
    if (auto listening = m_operators.listen(m_settings.operators); !listening)
        return failureBecause(RoleErrorCode::ListenFailed, listening.error());
    return {};
}

void Keeper::reload(const KeeperSettings& settings)
{
    m_peers.setAddresses(settings.host.keepers);
    m_api.replaceTokens(settings.tokens);
}

void Keeper::stop(std::function<void()> done)
{
    m_isStopping = true;
    asio::post(m_strand, [this] { m_timer.cancel(); });
    m_operators.drain([this, done = std::move(done)] {
        m_group.stop();
        m_server.close();
        done();
    });
}

//==============================================================================
void Keeper::tick()
{
    if (m_isStopping)
        return;
    m_group.tick();
    if (Instant now = m_clock.now(); now >= m_nextPoll) {
        m_nextPoll = now + (m_group.status().leader ? pollInterval : pollIntervalWithoutLeader);
        m_peers.poll();
        if (m_group.isUninitialised())
            bootstrapIfPossible();
    }
    m_timer.expires_after(m_settings.heartbeatInterval / 3);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void Keeper::bootstrapIfPossible()
{
    ReplicaId self { m_settings.id, m_group.identity().incarnation };
    std::map<KeeperId, KeeperReport> reports = m_peers.reports();
    if (auto membership = decideBootstrap(self, m_peers.others(), reports)) {
        logEvent(EventId::KeeperBegan, { { "voters", membership->voters.size() } });
        m_group.bootstrap(*membership);
        return;
    }
    if (mustBeAdded(self, reports) && !std::exchange(m_hasLoggedAwaitingMembership, true))
        logEvent(EventId::KeeperAwaitsMembership, { { "keeper", m_settings.id }, { "incarnation", self.incarnation } });
}

//==============================================================================
void Keeper::serveCalls()
{
    m_server.handle(PeerMethod::Agreement, [this](PeerCall call) { serveAgreement(std::move(call)); });
    m_server.handle(PeerMethod::Propose, [this](PeerCall call) { servePropose(std::move(call)); });
    m_server.handle(PeerMethod::FollowDocument, [this](PeerCall call) { m_documents.serve(std::move(call)); });
    m_server.handle(PeerMethod::ReadRun, [this](PeerCall call) { serveReadRun(std::move(call)); });
    m_server.handle(PeerMethod::ReadStatus, [this](PeerCall call) { serveStatus(std::move(call)); });
    m_server.handle(PeerMethod::ChangeMembers, [this](PeerCall call) { serveChangeMembers(std::move(call)); });
}

void Keeper::serveAgreement(PeerCall call)
{
    auto message = decodeMessage(call.payload);
    if (!message || call.callerRole != "keeper") {
        call.reply(failure(PeerErrorCode::Rejected, message ? "only keepers take part in the agreement" : message.error().detail));
        return;
    }
    m_group.receive(*message);
    call.reply(ByteString());
}

void Keeper::servePropose(PeerCall call)
{
    auto command = decodeCommand(call.payload);
    if (!command) {
        call.reply(failureBecause(PeerErrorCode::Rejected, command.error()));
        return;
    }
    m_group.propose(std::move(*command), [reply = std::move(call.reply)](const KeeperReply& answer) { reply(encodeKeeperReply(answer)); });
}

void Keeper::serveReadRun(PeerCall call)
{
    m_group.readRun(IdempotencyKey(call.payload), [reply = std::move(call.reply)](const KeeperReply& answer) { reply(encodeKeeperReply(answer)); });
}

void Keeper::serveStatus(PeerCall call)
{
    KeeperReport report { m_group.identity(), m_group.status() };
    report.status.inForce = m_documents.inForce();
    call.reply(encodeKeeperReport(report));
}

void Keeper::serveChangeMembers(PeerCall call)
{
    auto change = decodeMemberChange(call.payload);
    if (!change) {
        call.reply(failureBecause(PeerErrorCode::Rejected, change.error()));
        return;
    }
    asio::co_spawn(m_strand, m_changer.change(std::move(*change)), [reply = std::move(call.reply)](const std::exception_ptr&, const Result<void, AgreementErrorCode>& result) {
        reply(encodeMemberChangeReply(result));
    });
}

//==============================================================================
asio::awaitable<Result<Answer, KeeperClientErrorCode>> Keeper::propose(CommandBody body, Duration timeout)
{
    return m_keepers.propose(std::move(body), timeout);
}

asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> Keeper::readRun(IdempotencyKey key, Duration timeout)
{
    return m_keepers.readRun(std::move(key), timeout);
}

SystemStatus Keeper::status() const
{
    SystemStatus status = m_group.status();
    status.inForce = m_documents.inForce();
    for (const auto& [id, report] : m_peers.reports())
        merge(status.inForce, report.status.inForce);
    return status;
}

/** Retries while there is no leader. A retry is safe: steps that are already committed are skipped. */
asio::awaitable<Result<void, AgreementErrorCode>> Keeper::changeMembers(std::optional<KeeperId> remove, std::optional<KeeperAddress> add, Duration timeout)
{
    Instant deadline = m_clock.now() + timeout;
    ForwardedMemberChange change { remove, std::move(add), timeout };
    auto result = co_await changeMembersOnce(change);
    while (!result && result.error().code == AgreementErrorCode::NotLeader && m_clock.now() < deadline) {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(retryIntervalWithoutLeader);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        change.timeout = std::max<Duration>(deadline - m_clock.now(), retryIntervalWithoutLeader);
        result = co_await changeMembersOnce(change);
    }
    co_return result;
}

asio::awaitable<Result<void, AgreementErrorCode>> Keeper::changeMembersOnce(ForwardedMemberChange change)
{
    SystemStatus own = m_group.status();
    if (own.leader == m_settings.id)
        co_return co_await m_changer.change(std::move(change));
    std::optional<Endpoint> leader = own.leader ? m_peers.address(*own.leader) : std::nullopt;
    if (!leader)
        co_return failure(AgreementErrorCode::NotLeader, "no leader is known");
    auto bytes = co_await m_client.call(*leader, PeerMethod::ChangeMembers, encodeMemberChange(change), change.timeout);
    if (!bytes)
        co_return failureBecause(AgreementErrorCode::NotLeader, bytes.error());
    co_return decodeMemberChangeReply(*bytes);
}

} // namespace hemlockchute
