#include "gateway/CoordinatorLink.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"
#include "hemlockchute/fleet/FollowIntervals.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

/** The coordinators are logged as lost after this time without contact with a leader. */
constexpr Duration leaderContactTimeout = 1s;

} // namespace

//==============================================================================
CoordinatorLink::CoordinatorLink(asio::io_context& context, PeerClient& client, HostName self, DataCentreName own, const std::vector<Endpoint>& seeds, Options options, ServerTable& servers, DemandTracker& demand, PromptPartMonitor& promptParts, ServerRateLimiter& rateLimiter, AccessControl& access, QuotaLimiter& quotas, Hooks hooks)
    : m_client(client)
    , m_self(std::move(self))
    , m_options(options)
    , m_servers(servers)
    , m_demand(demand)
    , m_promptParts(promptParts)
    , m_rateLimiter(rateLimiter)
    , m_access(access)
    , m_quotas(quotas)
    , m_hooks(std::move(hooks))
    , m_timer(context)
    , m_selector(m_self, std::move(own), CoordinatorSelector::Options())
{
    setSeeds(seeds);
}

void CoordinatorLink::start()
{
    m_startedAt = std::chrono::steady_clock::now();
    asio::co_spawn(m_timer.get_executor(), run(), asio::detached);
}

void CoordinatorLink::stop()
{
    m_isStopping = true;
    m_timer.cancel();
}

void CoordinatorLink::pollSoon()
{
    if (!std::exchange(m_isPollRequested, true))
        m_timer.cancel();
}

void CoordinatorLink::setSeeds(const std::vector<Endpoint>& seeds)
{
    m_selector.add({ seeds.begin(), seeds.end() });
}

std::optional<Instant> CoordinatorLink::expectedReadyTime(const ServiceName& service, const ModelName& model) const
{
    auto found = m_expectedReadyTimes.find({ service, model });
    return found == m_expectedReadyTimes.end() ? std::nullopt : std::optional(found->second);
}

bool CoordinatorLink::hasCurrentList(Instant now) const
{
    return m_listRequestedAt && now - *m_listRequestedAt < m_options.listLifetime;
}

//==============================================================================
asio::awaitable<void> CoordinatorLink::run()
{
    while (!m_isStopping) {
        Instant lastPoll = std::chrono::steady_clock::now();
        m_isPollRequested = false;
        co_await pollOnce();
        for (Duration left = timeToNextPoll(lastPoll); left > Duration::zero() && !m_isStopping; left = timeToNextPoll(lastPoll)) {
            m_timer.expires_after(left);
            boost::system::error_code ignored;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

Duration CoordinatorLink::timeToNextPoll(Instant lastPoll) const
{
    if (m_hasMore)
        return Duration::zero();
    Instant now = std::chrono::steady_clock::now();
    bool isWaiting = m_demand.isWaiting() || m_rateLimiter.isWaiting() || m_quotas.isWaiting();
    Duration interval = isWaiting ? waitingInterval(m_followers) : followInterval(m_followers);
    if (m_promptParts.expectsVerdict(now))
        interval = std::min(interval, verdictInterval(m_followers));
    return lastPoll + (m_isPollRequested ? urgentFollowInterval : interval) - now;
}

asio::awaitable<void> CoordinatorLink::pollOnce()
{
    Endpoint target = m_selector.next(std::chrono::steady_clock::now());
    unfollowPrevious(target);
    PromptPartReport promptParts = m_promptParts.takeReport(currentTime());
    ByteString request = nextRequest(promptParts);
    Instant asked = currentTime();
    m_asked = m_suspendAwareClock.now();
    auto bytes = co_await m_client.call(target, PeerMethod::FollowFleet, std::move(request), m_options.timeout);
    Instant now = std::chrono::steady_clock::now();
    std::string fault;
    m_hasMore = false;
    auto reply = bytes ? decodeFollowReply(*bytes) : FleetMessageResult<FollowReply>(failure(FleetMessageErrorCode::Malformed, bytes.error().detail));
    if (reply) {
        fault = applyReply(target, *reply, asked, now);
    } else {
        fault = reply.error().detail;
        m_selector.noteFailure(target, now);
    }
    if (!fault.empty())
        m_promptParts.restoreReport(std::move(promptParts));
    logIfLost(target, fault, now);
}

/** Tells the previous coordinator to stop counting this gateway's requests. */
void CoordinatorLink::unfollowPrevious(const Endpoint& target)
{
    std::optional<Endpoint> previous = std::exchange(m_followed, std::nullopt);
    if (!previous || *previous == target)
        return;
    FollowRequest last;
    last.host = m_self;
    last.isLast = true;
    // When this call is lost, the coordinator drops this gateway after a time-out.
    m_client.call(*previous, PeerMethod::FollowFleet, encodeFollowRequest(last), m_options.timeout, [](const Result<ByteString, PeerErrorCode>&) {});
}

ByteString CoordinatorLink::nextRequest(const PromptPartReport& promptParts)
{
    FollowRequest request;
    request.host = m_self;
    request.configuration = m_version;
    m_assembler.fill(request);
    request.epoch = m_epoch;
    request.revision = m_revision;
    request.demands = m_demand.takeReports();
    request.outstanding = m_servers.outstanding();
    request.leaving = m_servers.announcedLeaving(currentTime());
    request.ended = m_servers.refusing(currentTime());
    request.promptParts = promptParts;
    request.rateLimits = m_rateLimiter.notices();
    request.rateDemands = m_rateLimiter.takeDemands(currentTime());
    request.quotaReports = m_quotas.takeReports(m_suspendAwareClock.now());
    return encodeFollowRequest(request);
}

void CoordinatorLink::logIfLost(const Endpoint& polled, const std::string& fault, Instant now)
{
    bool isLost = sinceLastContact(now) > leaderContactTimeout;
    if (isLost && !std::exchange(m_isLost, true))
        logEvent(EventId::GatewayCoordinatorLost, { { "asked", formatEndpoint(polled) }, { "reason", fault } });
}

/** Applies a reply; returns the reason when it does not represent the current leader. */
std::string CoordinatorLink::applyReply(const Endpoint& polled, const FollowReply& reply, Instant asked, Instant now)
{
    std::set<Endpoint> coordinators;
    for (KeeperId coordinator : reply.coordinators)
        coordinators.insert(endpointOf(coordinator));
    m_selector.add(coordinators);
    std::optional<Endpoint> leader;
    if (!reply.leader.isNone())
        leader = endpointOf(reply.leader);
    applyConfiguration(reply, now);
    // A relay may not know the latest leader yet, although this gateway has seen it.
    bool isOutdated = reply.epoch < m_highestEpoch && sinceLastContact(now) < m_options.leaderTimeout;
    if (!reply.isCurrent || isOutdated) {
        bool shouldStay = m_selector.noteNoLeader(polled, leader, now);
        m_isPollRequested = m_isPollRequested || (!shouldStay && leader && *leader != polled);
        return isOutdated ? "the reply is of an earlier epoch" : "the coordinator has no current leader";
    }
    m_selector.setTopology(reply.relays, leader);
    m_followed = polled;
    m_lastContact = now - reply.age;
    if (std::exchange(m_isLost, false))
        logEvent(EventId::GatewayCoordinatorRegained, { { "coordinator", formatEndpoint(polled) } });
    m_gateways = reply.gateways;
    m_followers = reply.followers;
    std::vector<Endpoint> unusedAddresses;
    if (reply.listAge) {
        m_listRequestedAt = now - *reply.listAge;
        m_epoch = reply.epoch;
        m_highestEpoch = reply.epoch;
        m_revision = reply.revision;
        m_hasMore = m_hasMore || reply.hasMoreServers();
        unusedAddresses = m_servers.applyReply(reply);
    }
    m_expectedReadyTimes.clear();
    for (const ModelExpectation& expectation : reply.expectations)
        m_expectedReadyTimes[{ expectation.service, expectation.model }] = now + expectation.remaining;
    m_promptParts.applyVerdicts(reply.suspectParts, reply.trialParts, now);
    m_rateLimiter.applyReply(reply, asked, now);
    applyConfirmation(reply);
    m_hooks.changed(unusedAddresses);
    return {};
}

/** Counted from the poll, since the reply may have been on its way, or this host suspended, for any time. */
void CoordinatorLink::applyConfirmation(const FollowReply& reply)
{
    if (!reply.confirmedAge)
        return;
    Instant confirmed = m_asked - *reply.confirmedAge;
    m_quotas.applyGrants(reply.quotaGrants, confirmed, m_suspendAwareClock.now());
    if (m_version >= reply.version)
        m_access.noteConfirmed(confirmed);
}

/** Only a current reply is trusted, unless this gateway has had no configuration for the leader time-out. */
void CoordinatorLink::applyConfiguration(const FollowReply& reply, Instant now)
{
    bool isFallback = m_version.isNone() && now - m_startedAt > m_options.leaderTimeout;
    if (reply.version <= m_version || !(reply.isCurrent || isFallback))
        return;
    auto body = m_assembler.receive(reply);
    m_hasMore = m_assembler.expectsMore();
    if (!body)
        logEvent(EventId::GatewayConfigurationUnreadable, { { "version", reply.version }, { "reason", body.error().detail } });
    else if (*body)
        m_hooks.configuration(reply.version, std::move(**body));
}

} // namespace hemlockchute
