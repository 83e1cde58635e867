#pragma once

#include "coordinator/ConfigurationRegister.h"
#include "coordinator/CoordinatorSettings.h"
#include "coordinator/FleetRelay.h"
#include "coordinator/LeaderRetryPolicy.h"
#include "coordinator/PlacementDirector.h"
#include "coordinator/VoterPolicy.h"
#include "hemlockchute/core/RoleService.h"
#include "hemlockchute/fleet/CompressedConfiguration.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"
#include "hemlockchute/fleet/ListingPoller.h"
#include "hemlockchute/fleet/ResultQueue.h"
#include "hemlockchute/http/HttpServer.h"
#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/peer/PeerClient.h"

#include <boost/asio/steady_timer.hpp>

namespace hemlockchute {

//==============================================================================
/**
    A running coordinator: a member of the Raft group that replicates the route configuration.

    Serves operators, gateways and the other coordinators. The leader also manages the group's
    membership and sends orders to backend servers.

    Thread safety: only on the io_context, which runs one thread.

    @see ReplicatedGroup, PlacementDirector, VoterPolicy
*/
class Coordinator {
public:
    /** Opens the data folder for this coordinator's incarnation. */
    using OpenDisk = std::function<StorageResult<std::unique_ptr<KeeperDisk>>()>;

    /** `next` is the incarnation that the data folder is given if it proves to be rolled back to an older state; `reopen` opens the folder again after a failed write. */
    Coordinator(boost::asio::io_context&, const CoordinatorSettings&, const FleetPlatform&, std::unique_ptr<KeeperDisk>, IncarnationId next, OpenDisk reopen);
    ~Coordinator();

    Result<void, RoleErrorCode> start();
    /** Applies the settings that may change while the process runs: the seeds. */
    void reload(const CoordinatorSettings&);
    /** Leaves the group first, for 2 s at most, if another coordinator stands ready to vote in its place. */
    void stop(std::function<void()> done);

    /** The incarnation of a coordinator that bootstraps the group with an empty disk. */
    static IncarnationId foundingIncarnation() { return IncarnationId(1); }

private:
    /** The leader's reply to an operator's call, or the reason why there is none. */
    struct LeaderAnswer {
        std::optional<ByteString> reply;
        std::string reason;
        Duration waited {};
    };

    /** The leader as reported by another coordinator, used while this one is not a member. */
    struct NamedLeader {
        KeeperId leader;
        Instant reportedAt;
    };

    struct Attempt;
    using Attempts = ResultQueue<Attempt>;

    // The stop
    void leaveGroup(std::function<void()> done);
    void askToLeave(const Endpoint& leader);
    void serveLeave(PeerCall);
    void drainOperators(std::function<void()> done);
    void finishStop();

    // The group
    void tick();
    void send(const AgreementMessage&);
    void requestMembership(Instant now);
    void updateMembership(Instant now);
    void updateOrderAuthority(Instant now);
    std::optional<FencingNumber> authority() const;
    void applyAgreedConfiguration();
    std::vector<Endpoint> otherCoordinators() const;

    // Other processes
    void serveCalls();
    void serveAgreement(PeerCall);
    void serveFollow(PeerCall);
    void fillConfiguration(FollowReply&, const FollowRequest&);
    void recordPromptParts(const FollowRequest&, FollowReply&, Instant now);
    void recordRateLimits(const FollowRequest&, FollowReply&, Instant now);
    void grantQuotas(const FollowRequest&, FollowReply&);
    std::vector<CoordinatorLocation> relays(Instant now);
    std::optional<KeeperId> otherLeader() const;
    void serveJoin(PeerCall);
    void servePropose(PeerCall);
    void serveRead(PeerCall);

    // Operators
    boost::asio::awaitable<void> answer(HttpExchange&);
    boost::asio::awaitable<void> handleSubmission(HttpExchange&);
    boost::asio::awaitable<void> showConfiguration(HttpExchange&);
    boost::asio::awaitable<void> answerMetrics(HttpExchange&);
    boost::asio::awaitable<LeaderAnswer> callLeader(PeerMethod, ByteString payload);
    void startAttempt(LeaderRetryPolicy::Target, PeerMethod, const ByteString& payload, Instant deadline, const std::shared_ptr<Attempts>&);
    static void logAttemptFailed(const Attempt&);
    std::optional<KeeperId> knownLeader(const GroupStatus&, Instant now) const;
    void proposeHere(const ByteString& body, ReplicatedGroup::Reply);
    void readHere(ReplicatedGroup::Reply);

    boost::asio::io_context& m_context;
    CoordinatorSettings m_settings;
    const FleetPlatform& m_platform;
    SuspendAwareClock m_clock;
    KeeperId m_id;
    PeerClient m_client;
    PeerServer m_server;
    HttpClient m_http;
    Metrics m_metrics;
    ConfigurationRegister m_register;
    ReplicatedGroup m_group;
    VoterPolicy m_voters;
    PlacementDirector m_director;
    /** Used while this coordinator leads; a new leader learns of quarantines from the gateways. */
    PromptPartQuarantine m_quarantine { PromptPartQuarantine::Options() };
    ServerRateLimits m_rateLimits { ServerRateLimits::Options() };
    RateGrantPool m_rateGrants { RateGrantPool::Options() };
    QuotaPool m_quotas;
    FleetRelay m_relay;
    CompressedConfiguration m_compressed { CompressedConfiguration::Options() };
    ListingPoller m_listing;
    std::shared_ptr<RequestBufferBudget> m_requestMemory;
    HttpServer m_operators;
    HttpServer m_metricsPage;
    boost::asio::steady_timer m_timer;
    std::mutex m_sendLock;
    std::map<KeeperId, unsigned> m_pendingMessages;
    std::set<Endpoint> m_seeds;
    /** The last term in which this coordinator became leader, and when it noticed. */
    AgreementTerm m_leadTerm;
    Instant m_leadingSince {};
    bool m_givesOrders = false;
    /** True once this process has answered a gateway as leader. */
    bool m_hasLed = false;
    Instant m_lastLeaderContact {};
    std::optional<NamedLeader> m_namedLeader;
    Instant m_nextJoinRequest {};
    Instant m_nextMembershipUpdate {};
    bool m_isStopping = false;
    Instant m_stoppedAt {};
    std::function<void()> m_onStopped;
    /** The membership agreed on, as the leader has answered since the stop. */
    std::optional<Membership> m_leaderMembership;
};

} // namespace hemlockchute
