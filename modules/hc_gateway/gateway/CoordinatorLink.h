#pragma once

#include "gateway/AccessControl.h"
#include "gateway/CoordinatorSelector.h"
#include "gateway/DemandTracker.h"
#include "gateway/PromptPartMonitor.h"
#include "gateway/QuotaLimiter.h"
#include "gateway/ServerRateLimiter.h"
#include "gateway/ServerTable.h"
#include "hemlockchute/fleet/ConfigurationAssembler.h"
#include "hemlockchute/peer/PeerClient.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    Polls the leading coordinator, directly or through a relay: reports the demand, and receives the
    configuration, the placement, units of quotas, and when missing models are expected to be ready.

    Thread safety: only on the io_context, which runs one thread.
*/
class CoordinatorLink {
public:
    /** Time-outs and lifetimes. */
    struct Options {
        Duration timeout = 500ms;
        /** After this time without a leader, a reply of an earlier epoch is accepted, and a gateway without a configuration takes one from any coordinator. */
        Duration leaderTimeout = 3s;
        /** A server list that was requested longer ago is too old to show which servers are leaving. */
        Duration listLifetime = 1600ms;
    };

    /** Callbacks for updates. */
    struct Hooks {
        /** A newer configuration was received. */
        std::function<void(ConfigurationVersion, ByteString)> configuration;
        /** Servers, loads or expected models were updated; no server uses `unusedAddresses` any more. */
        std::function<void(const std::vector<Endpoint>& unusedAddresses)> changed;
    };

    CoordinatorLink(boost::asio::io_context&, PeerClient&, HostName self, DataCentreName own, const std::vector<Endpoint>& seeds, Options, ServerTable&, DemandTracker&, PromptPartMonitor&, ServerRateLimiter&, AccessControl&, QuotaLimiter&, Hooks);

    void start();
    void stop();
    /** Polls without waiting for the usual interval, as when a request starts to wait for a model. */
    void pollSoon();
    void setSeeds(const std::vector<Endpoint>& seeds);
    void noteVersion(ConfigurationVersion version) { m_version = version; }

    /** True while the leader's server list is recent, so that this gateway need not read the platform's list. */
    bool hasCurrentList(Instant now) const;
    /** Requests every server with the next poll, as after the table was filled from the platform's list. */
    void requestFullList() { m_epoch = 0; }
    /** When the model is expected to be ready, as last reported; nothing when the coordinator reported no time for it. */
    std::optional<Instant> expectedReadyTime(const ServiceName&, const ModelName&) const;
    /** The number of gateways, as the coordinator counts them; nothing before its first reply. */
    std::optional<unsigned> gateways() const { return m_gateways; }
    /** The time since the last contact with a leader, or since the start when there was none. */
    Duration sinceLastContact(Instant now) const { return now - m_lastContact.value_or(m_startedAt); }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> pollOnce();
    void unfollowPrevious(const Endpoint& target);
    ByteString nextRequest(const PromptPartReport&);
    void logIfLost(const Endpoint& polled, const std::string& fault, Instant now);
    std::string applyReply(const Endpoint& polled, const FollowReply&, Instant asked, Instant now);
    void applyConfiguration(const FollowReply&, Instant now);
    void applyConfirmation(const FollowReply&);
    Duration timeToNextPoll(Instant lastPoll) const;

    PeerClient& m_client;
    HostName m_self;
    Options m_options;
    ServerTable& m_servers;
    DemandTracker& m_demand;
    PromptPartMonitor& m_promptParts;
    ServerRateLimiter& m_rateLimiter;
    AccessControl& m_access;
    QuotaLimiter& m_quotas;
    SuspendAwareClock m_suspendAwareClock;
    /** When the poll in progress was sent, by that clock. */
    Instant m_asked {};
    Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    CoordinatorSelector m_selector;
    /** The coordinator that currently counts this gateway's requests. */
    std::optional<Endpoint> m_followed;
    ConfigurationVersion m_version;
    /** The parts of a newer version while they arrive. */
    ConfigurationAssembler m_assembler { ConfigurationAssembler::Options() };
    /** The epoch of the servers in the table, and the highest epoch seen. */
    std::uint64_t m_epoch = 0;
    std::uint64_t m_highestEpoch = 0;
    std::uint64_t m_revision = 0;
    std::map<std::pair<ServiceName, ModelName>, Instant> m_expectedReadyTimes;
    std::optional<unsigned> m_gateways;
    /** The number of gateways that follow the same coordinator. */
    unsigned m_followers = 0;
    /** True while further parts of a list or of a configuration are expected. */
    bool m_hasMore = false;
    std::optional<Instant> m_lastContact;
    std::optional<Instant> m_listRequestedAt;
    Instant m_startedAt {};
    bool m_isLost = false;
    bool m_isPollRequested = false;
    bool m_isStopping = false;
};

} // namespace hemlockchute
