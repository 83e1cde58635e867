#pragma once

#include "coordinator/GatewayTracker.h"
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
    Answers gateways with what the coordinator that leads has said, and tells it the sum of what
    they want.

    Answers the load in which hundreds of gateways follow one leader: it hears of a few relays, and
    most bytes stay within a data centre. An old answer of the leader is not passed on, so that
    nobody takes it for its present state. Thread safety: only on the io_context, which
    runs one thread.

    @see FleetTable, CoordinatorSelector
*/
class FleetRelay {
public:
    /** When to ask the leader, and how long its answer is passed on. */
    struct Options {
        Duration interval = relayInterval;
        /** While no gateway follows. */
        Duration idleInterval = 1s;
        Duration timeout = 500ms;
        /** A few lost calls; shorter than any time within which a change must be in force. */
        Duration lifetime = 700ms;
    };

    /** This coordinator, as the leader knows it. */
    struct Identity {
        HostName host;
        KeeperId coordinator;
        DataCentreName dataCentre;
    };

    struct Hooks {
        /** The coordinator that leads; nothing when there is none, or it is this one. */
        std::function<std::optional<KeeperId>()> leader;
        /** The configuration that this coordinator has. */
        std::function<ConfigurationVersion()> version;
    };

    FleetRelay(boost::asio::io_context&, PeerClient&, Identity, Options, Hooks);

    void start();
    void stop();

    /** Counts what a gateway wants, or asks the leader soon when its last answer is too old to be passed on. */
    void recordDemand(const FollowRequest&, Instant now);
    /** True while the leader's last answer may be passed on. */
    bool isCurrent(Instant now) const;
    /** Fills in the leader's last answer, but for the configuration. Precondition: isCurrent(). */
    void fill(FollowReply&, const FollowRequest&, Instant now);
    /** A configuration of the leader's that this coordinator has not applied itself yet; empty when there is none. */
    const ConfigurationBody& configuration() const { return m_configuration; }
    /** True once this coordinator has had, in this life, the configuration that the leader had then. */
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
    void applyReply(FollowReply, Instant asked);
    void applyServers(const FollowReply&);
    void pollSoon();
    Duration timeToNextPoll(Instant asked, Instant now);

    PeerClient& m_client;
    Identity m_identity;
    Options m_options;
    Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    GatewayTracker m_gateways { GatewayTracker::Options() };
    /** Arrivals since the leader was told last. */
    std::map<ModelKey, UnreportedDemand> m_unreportedDemand;
    /** Servers that said to gateways here that they leave, until the leader was told. */
    std::set<ServerLife> m_leaving;
    FleetTable m_table;
    /** The list of another epoch, until its last part has come. */
    std::optional<FleetTable> m_incoming;
    /** What the leader said last, but for the servers. */
    FollowReply m_lastReply;
    /** When that was asked for. */
    std::optional<Instant> m_replyRequestedAt;
    std::map<std::pair<ServiceName, ModelName>, Duration> m_expected;
    /** Requests at servers as the leader counted them, without those of the gateways here. */
    std::map<ServerHandle, ServerLoad> m_otherOutstanding;
    std::map<ServerHandle, ServerLoad> m_reportedOutstanding;
    ConfigurationBody m_configuration;
    bool m_hasCaughtUp = false;
    /** True when the leader was told of requests, so that it must hear when they are gone. */
    bool m_hasReportedDemand = false;
    bool m_isPollRequested = false;
    bool m_isStopping = false;
};

} // namespace hemlockchute
