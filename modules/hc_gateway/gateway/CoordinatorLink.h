#pragma once

#include "gateway/CoordinatorSelector.h"
#include "gateway/DemandTracker.h"
#include "gateway/ServerTable.h"
#include "hemlockchute/peer/PeerClient.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    Keeps in touch with the coordinator that leads, itself or by a relay: tells it the demand, and
    hears of it the configuration, the placement and when missing models are expected.

    Thread safety: only on the io_context, which runs one thread.
*/
class CoordinatorLink {
public:
    /** When to give up on an answer, and on what was heard before. */
    struct Options {
        Duration timeout = 500ms;
        /** After so long without a leader, the configuration of any coordinator will do for a gateway that has none. */
        Duration leaderTimeout = 3s;
        /** A list that was asked for longer ago says too little of servers that leave. */
        Duration listLifetime = 1600ms;
    };

    /** What the link hands on. */
    struct Hooks {
        /** A newer configuration. */
        std::function<void(ConfigurationVersion, ByteString)> configuration;
        /** Servers, counts or expectations were heard; these addresses belong to no server any more. */
        std::function<void(const std::vector<Endpoint>& gone)> changed;
    };

    CoordinatorLink(boost::asio::io_context&, PeerClient&, HostName self, DataCentreName own, const std::vector<Endpoint>& seeds, Options, ServerTable&, DemandTracker&, Hooks);

    void start();
    void stop();
    /** Asks soon, as when a request waits for a model that nobody has asked for yet. */
    void pollSoon();
    void setSeeds(const std::vector<Endpoint>& seeds);
    void noteVersion(ConfigurationVersion version) { m_version = version; }

    /** True when the coordinator that leads has read the platform's list lately, so that this gateway need not. */
    bool hasCurrentList(Instant now) const;
    /** Asks for every server anew, as after the table was filled from elsewhere. */
    void requestFullList() { m_epoch = 0; }
    /** When a model is expected, as last heard; nothing when the coordinator has said nothing of it. */
    std::optional<Instant> expectedReadyTime(const ServiceName&, const ModelName&) const;
    /** Gateways that the coordinator hears of; nothing until it said so. */
    std::optional<unsigned> gateways() const { return m_gateways; }
    /** How long ago a coordinator that leads has answered; since the start when none has. */
    Duration sinceLastContact(Instant now) const { return now - m_lastContact.value_or(m_startedAt); }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> pollOnce();
    void unfollowPrevious(const Endpoint& target);
    ByteString nextRequest();
    void logIfLost(const Endpoint& asked, const std::string& fault, Instant now);
    std::string applyReply(const Endpoint& asked, const FollowReply&, Instant now);
    void applyConfiguration(const FollowReply&, Instant now);
    Duration timeToNextPoll(Instant asked) const;

    PeerClient& m_client;
    HostName m_self;
    Options m_options;
    ServerTable& m_servers;
    DemandTracker& m_demand;
    Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    CoordinatorSelector m_selector;
    /** The coordinator that counts this gateway's requests. */
    std::optional<Endpoint> m_followed;
    ConfigurationVersion m_version;
    /** The epoch of the servers in the table, and the highest that was heard of. */
    std::uint64_t m_epoch = 0;
    std::uint64_t m_highestEpoch = 0;
    std::uint64_t m_revision = 0;
    std::map<std::pair<ServiceName, ModelName>, Instant> m_expectedReadyTimes;
    std::optional<unsigned> m_gateways;
    /** Gateways that share the coordinator with this one. */
    unsigned m_followers = 0;
    /** True while parts of a list are to come. */
    bool m_hasMore = false;
    std::optional<Instant> m_lastContact;
    std::optional<Instant> m_listRequestedAt;
    Instant m_startedAt {};
    bool m_isLost = false;
    bool m_isPollRequested = false;
    bool m_isStopping = false;
};

} // namespace hemlockchute
