#pragma once

#include "coordinator/GatewayTracker.h"
#include "hemlockchute/fleet/ConfigurationAssembler.h"
#include "hemlockchute/fleet/FleetTable.h"
#include "hemlockchute/fleet/FollowIntervals.h"
#include "hemlockchute/peer/PeerClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    Relays between gateways and the leader: answers gateways from the leader's last reply, and
    reports their combined demand to it.

    Keeps the leader's load low with hundreds of gateways: it serves only a few relays, and most
    traffic stays within a data centre. A reply of the leader is passed on only for a limited
    lifetime, so that no stale state is taken for current.
    Thread safety: only on the io_context, which runs one thread.

    @see FleetTable, CoordinatorSelector
*/
class FleetRelay {
public:
    /** How often the leader is polled, and how long its reply is passed on. */
    struct Options {
        Duration interval = relayInterval;
        /** While no gateway follows this relay. */
        Duration idleInterval = 1s;
        Duration timeout = 500ms;
        /** Bridges a few lost calls; shorter than every time limit for a change to come into force. */
        Duration lifetime = 700ms;
        /** How long a trial of a quarantined prompt part waits for a gateway that can use it. */
        Duration trialLifetime = 2s;
    };

    /** This coordinator, as the leader knows it. */
    struct Identity {
        HostName host;
        KeeperId coordinator;
        DataCentreName dataCentre;
    };

    struct Hooks {
        /** The current leader; nothing if none is known or this coordinator leads. */
        std::function<std::optional<KeeperId>()> leader;
        /** The version of the configuration that this coordinator has applied. */
        std::function<ConfigurationVersion()> version;
    };

    FleetRelay(boost::asio::io_context&, PeerClient&, Identity, Options, Hooks);

    void start();
    void stop();

    /** Records a gateway's report; if the last reply has expired, polls the leader soon instead. */
    void recordDemand(const FollowRequest&, Instant now);
    /** True while the leader's last reply may be passed on. */
    bool isCurrent(Instant now) const;
    /** Fills in the leader's last reply except the configuration. Precondition: isCurrent(). */
    void fill(FollowReply&, const FollowRequest&, Instant now);
    /** The quarantined prompt parts of the leader's last reply, for the next leader. */
    std::vector<SuspectPart> quarantined(Instant now) const;
    /** The rate limits of servers known here, for the next leader. */
    std::vector<RateLimitNotice> rateLimits() const { return m_rateLimits.notices(); }
    /** The latest configuration body received from the leader; version 0 before the first. */
    const ConfigurationBody& configuration() const { return m_configuration; }
    /** True once this process has had the leader's configuration version as of one of its replies. */
    bool hasCaughtUp() const { return m_hasCaughtUp; }

private:
    struct UnreportedDemand {
        unsigned arrivals = 0;
        unsigned refused = 0;
        unsigned rank = 0;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> pollOnce(KeeperId leader);
    FollowRequest nextRequest(Instant now);
    void fillQuotas(FollowReply&, const FollowRequest&);
    void collectPromptParts(const PromptPartReport&);
    PromptPartReport takePromptParts(Instant now);
    void passTrialOn(FollowReply&, const std::vector<PromptPartKey>&, Instant now);
    void applyReply(FollowReply, Instant asked, Instant askedSuspendAware);
    void applyServers(const FollowReply&);
    void applyConfiguration(const FollowReply&);
    void pollSoon();
    Duration timeToNextPoll(Instant asked, Instant now);

    PeerClient& m_client;
    Identity m_identity;
    Options m_options;
    Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    GatewayTracker m_gateways { GatewayTracker::Options() };
    /** Demand since the last report to the leader. */
    std::map<ModelKey, UnreportedDemand> m_unreportedDemand;
    /** Servers that announced to gateways of this relay that they leave, not yet reported to the leader. */
    std::set<ServerIncarnation> m_leaving;
    /** The same of servers that refuse connections. */
    std::set<ServerIncarnation> m_ended;
    /** What gateways of this relay saw of prompt parts, not yet reported to the leader. */
    PromptPartReport m_promptParts;
    /** When a gateway last reported a crash. */
    std::optional<Instant> m_lastCrash;
    /** Trials of quarantined parts that the leader leaves to one gateway of this relay, and until when. */
    std::map<PromptPartKey, Instant> m_trialParts;
    /** The rate limits that gateways of this relay or the leader reported. */
    ServerRateLimits m_rateLimits { ServerRateLimits::Options() };
    /** Divides what the leader granted among the gateways of this relay. */
    RateGrantPool m_rateGrants { RateGrantPool::Options() };
    /** The same of the units of quotas. */
    QuotaPool m_quotas { QuotaPool::Options() };
    /** Confirmations and quotas must not last longer because this host was suspended. */
    SuspendAwareClock m_suspendAwareClock;
    /** When the leader was certain of the version in its last reply; nothing if it was not. */
    std::optional<Instant> m_confirmed;
    FleetTable m_table;
    /** The list of a new epoch while its parts arrive. */
    std::optional<FleetTable> m_incoming;
    /** The leader's last reply, without the servers. */
    FollowReply m_lastReply;
    /** When the request for m_lastReply was sent. */
    std::optional<Instant> m_replyRequestedAt;
    std::map<std::pair<ServiceName, ModelName>, Duration> m_expected;
    /** Requests at servers as counted by the leader, less those of gateways behind this relay. */
    std::map<ServerHandle, ServerLoad> m_otherOutstanding;
    std::map<ServerHandle, ServerLoad> m_reportedOutstanding;
    ConfigurationBody m_configuration;
    /** The parts of a newer version while they arrive. */
    ConfigurationAssembler m_assembler { ConfigurationAssembler::Options() };
    /** True if the last poll brought a part of the configuration and more are missing. */
    bool m_hasMoreConfiguration = false;
    bool m_hasCaughtUp = false;
    /** True if the last report held demand, so the leader must also learn when it ends. */
    bool m_hasReportedDemand = false;
    bool m_isPollRequested = false;
    bool m_isStopping = false;
};

} // namespace hemlockchute
