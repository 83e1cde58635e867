#pragma once

#include "gateway/CoordinatorChoice.h"
#include "gateway/DemandLedger.h"
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
        Duration patience = 3s;
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

    CoordinatorLink(boost::asio::io_context&, PeerClient&, HostName self, DataCentreName own, const std::vector<Endpoint>& seeds, Options, ServerTable&, DemandLedger&, Hooks);

    void start();
    void stop();
    /** Asks soon, as when a request waits for a model that nobody has asked for yet. */
    void hurry();
    void setSeeds(const std::vector<Endpoint>& seeds);
    void noteVersion(ConfigurationVersion version) { m_version = version; }

    /** True when the coordinator that leads has read the platform's list lately, so that this gateway need not. */
    bool hasCurrentList(Instant now) const;
    /** Asks for every server anew, as after the table was filled from elsewhere. */
    void forgetRevision() { m_epoch = 0; }
    /** When a model is expected, as last heard; nothing when the coordinator has said nothing of it. */
    std::optional<Instant> expected(const ServiceName&, const ModelName&) const;
    /** Gateways that the coordinator hears of; nothing until it said so. */
    std::optional<unsigned> gateways() const { return m_gateways; }
    /** How long ago a coordinator that leads has answered; since the start when none has. */
    Duration silence(Instant now) const { return now - m_heard.value_or(m_begun); }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> askOnce();
    void unfollowPrevious(const Endpoint& target);
    ByteString nextRequest();
    void noteIfLost(const Endpoint& asked, const std::string& fault, Instant now);
    std::string take(const Endpoint& asked, const FollowReply&, Instant now);
    void takeConfiguration(const FollowReply&, Instant now);
    Duration pause(Instant asked) const;

    PeerClient& m_client;
    HostName m_self;
    Options m_options;
    ServerTable& m_servers;
    DemandLedger& m_demand;
    Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    CoordinatorChoice m_choice;
    /** The coordinator that counts this gateway's requests. */
    std::optional<Endpoint> m_followed;
    ConfigurationVersion m_version;
    /** The epoch of the servers in the table, and the highest that was heard of. */
    std::uint64_t m_epoch = 0;
    std::uint64_t m_newestEpoch = 0;
    std::uint64_t m_revision = 0;
    std::map<std::pair<ServiceName, ModelName>, Instant> m_expected;
    std::optional<unsigned> m_gateways;
    /** Gateways that share the coordinator with this one. */
    unsigned m_followers = 0;
    /** True while parts of a list are to come. */
    bool m_hasMore = false;
    std::optional<Instant> m_heard;
    std::optional<Instant> m_listAsked;
    Instant m_begun {};
    bool m_isLost = false;
    bool m_isHurried = false;
    bool m_isStopping = false;
};

} // namespace hemlockchute
