#include "gateway/CoordinatorLink.h"

#include "hemlockchute/core/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

/** A gateway counts as out of touch after so long without a word of a leader. */
constexpr Duration lostAfter = 1s;

} // namespace

//==============================================================================
CoordinatorLink::CoordinatorLink(asio::io_context& context, PeerClient& client, HostName self, std::vector<Endpoint> seeds, Options options, ServerTable& servers, DemandLedger& demand, Hooks hooks)
    : m_client(client)
    , m_self(std::move(self))
    , m_options(options)
    , m_servers(servers)
    , m_demand(demand)
    , m_hooks(std::move(hooks))
    , m_timer(context)
    , m_coordinators(seeds.begin(), seeds.end())
{
}

void CoordinatorLink::start()
{
    m_begun = std::chrono::steady_clock::now();
    asio::co_spawn(m_timer.get_executor(), run(), asio::detached);
}

void CoordinatorLink::stop()
{
    m_isStopping = true;
    m_timer.cancel();
}

void CoordinatorLink::hurry()
{
    if (!std::exchange(m_isHurried, true))
        m_timer.cancel();
}

void CoordinatorLink::setSeeds(const std::vector<Endpoint>& seeds)
{
    m_coordinators.insert(seeds.begin(), seeds.end());
}

std::optional<Instant> CoordinatorLink::expected(const ServiceName& service, const ModelName& model) const
{
    auto found = m_expected.find({ service, model });
    return found == m_expected.end() ? std::nullopt : std::optional(found->second);
}

bool CoordinatorLink::hasCurrentList(Instant now) const
{
    return m_listAsked && now - *m_listAsked < m_options.listLifetime;
}

//==============================================================================
asio::awaitable<void> CoordinatorLink::run()
{
    while (!m_isStopping) {
        Instant asked = std::chrono::steady_clock::now();
        m_isHurried = false;
        co_await askOnce();
        for (Duration left = pause(asked); left > Duration::zero() && !m_isStopping; left = pause(asked)) {
            m_timer.expires_after(left);
            boost::system::error_code ignored;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

/** What is left of the time until the next call. */
Duration CoordinatorLink::pause(Instant asked) const
{
    Duration interval = std::max<Duration>(m_options.interval, m_gateways.value_or(0) * m_options.intervalPerGateway);
    return asked + (m_isHurried ? m_options.shortestInterval : interval) - std::chrono::steady_clock::now();
}

asio::awaitable<void> CoordinatorLink::askOnce()
{
    if (!m_target)
        turnTo(std::nullopt);
    Endpoint target = *m_target;
    ByteString request = nextRequest();
    auto bytes = co_await m_client.call(target, PeerMethod::FollowFleet, std::move(request), m_options.timeout);
    Instant now = std::chrono::steady_clock::now();
    std::string fault;
    if (!bytes)
        fault = bytes.error().detail;
    else if (auto reply = decodeFollowReply(*bytes); reply)
        take(*reply, now);
    else
        fault = reply.error().detail;
    if (!fault.empty())
        turnTo(std::nullopt);
    noteIfLost(target, fault, now);
}

ByteString CoordinatorLink::nextRequest()
{
    return encodeFollowRequest({ m_self, m_version, m_epoch, m_revision, m_demand.takeReports(), m_servers.outstanding() });
}

void CoordinatorLink::noteIfLost(const Endpoint& asked, const std::string& fault, Instant now)
{
    bool isLost = silence(now) > lostAfter;
    if (isLost && !std::exchange(m_isLost, true))
        logEvent(EventId::GatewayCoordinatorLost, { { "asked", formatEndpoint(asked) }, { "reason", fault.empty() ? "it does not lead" : fault } });
}

void CoordinatorLink::take(const FollowReply& reply, Instant now)
{
    for (KeeperId coordinator : reply.coordinators)
        m_coordinators.insert(endpointOf(coordinator));
    takeConfiguration(reply, now);
    if (!reply.isCurrent) {
        turnTo(reply.leader.isNone() ? std::nullopt : std::optional(endpointOf(reply.leader)));
        return;
    }
    m_heard = now;
    if (std::exchange(m_isLost, false))
        logEvent(EventId::GatewayCoordinatorRegained, { { "coordinator", formatEndpoint(*m_target) } });
    m_gateways = reply.gateways;
    std::vector<Endpoint> gone;
    if (reply.listAge) {
        m_listAsked = now - *reply.listAge;
        m_epoch = reply.epoch;
        m_revision = reply.revision;
        gone = m_servers.takeReply(reply);
    }
    m_expected.clear();
    for (const ModelExpectation& expectation : reply.expectations)
        m_expected[{ expectation.service, expectation.model }] = now + expectation.remaining;
    m_hooks.changed(gone);
}

/** Only a coordinator that leads is believed, unless there is nothing to go by at all. */
void CoordinatorLink::takeConfiguration(const FollowReply& reply, Instant now)
{
    bool isBetterThanNothing = m_version.isNone() && now - m_begun > m_options.patience;
    if (reply.version > m_version && !reply.configuration.empty() && (reply.isCurrent || isBetterThanNothing))
        m_hooks.configuration(reply.version, reply.configuration);
}

/** Turns to the coordinator given, or to the one after the last. */
void CoordinatorLink::turnTo(std::optional<Endpoint> coordinator)
{
    if (coordinator && coordinator != m_target) {
        m_target = coordinator;
        m_isHurried = true;
        return;
    }
    auto next = m_target ? m_coordinators.upper_bound(*m_target) : m_coordinators.begin();
    m_target = next == m_coordinators.end() ? *m_coordinators.begin() : *next;
}

} // namespace hemlockchute
