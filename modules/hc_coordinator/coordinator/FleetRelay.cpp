#include "coordinator/FleetRelay.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/fleet/CoordinatorAddress.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

/** How often is looked for a leader while none is known. */
constexpr Duration leaderlessPause = 50ms;

} // namespace

FleetRelay::FleetRelay(asio::io_context& context, PeerClient& client, Identity identity, Options options, Hooks hooks)
    : m_client(client)
    , m_identity(std::move(identity))
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_timer(context)
{
}

void FleetRelay::start()
{
    asio::co_spawn(m_timer.get_executor(), run(), asio::detached);
}

void FleetRelay::stop()
{
    m_isStopping = true;
    m_timer.cancel();
}

void FleetRelay::hurry()
{
    if (!std::exchange(m_isHurried, true))
        m_timer.cancel();
}

//==============================================================================
void FleetRelay::takeDemand(const FollowRequest& request, Instant now)
{
    // The gateway takes its demand elsewhere; it must not count twice.
    if (!isCurrent(now) && !request.isLast) {
        hurry();
        return;
    }
    bool isUrgent = m_book.followers() == 0;
    for (const ModelDemandReport& demand : request.demands) {
        auto known = m_book.wanted().find(demand.key);
        isUrgent = isUrgent || (demand.waiting > 0 && (known == m_book.wanted().end() || known->second.waiting == 0));
        auto [found, isNew] = m_news.try_emplace(demand.key);
        News& news = found->second;
        news.arrivals += demand.arrivals;
        news.refused += demand.refused;
        news.rank = isNew ? demand.rank : std::min(news.rank, demand.rank);
    }
    m_leaving.insert(request.leaving.begin(), request.leaving.end());
    m_book.take(request, now);
    if (isUrgent)
        hurry();
}

bool FleetRelay::isCurrent(Instant now) const
{
    return m_asked && now - *m_asked < m_options.lifetime && m_table.epoch() == m_said.epoch;
}

void FleetRelay::fill(FollowReply& reply, const FollowRequest& request, Instant now)
{
    m_book.expire(now);
    reply.isCurrent = true;
    reply.age = now - *m_asked;
    reply.leader = m_said.leader;
    reply.relays = m_said.relays;
    reply.gateways = m_said.gateways;
    reply.followers = m_book.followers();
    if (m_said.listAge)
        reply.listAge = *m_said.listAge + reply.age;
    m_table.fill(reply, request);
    std::map<ServerHandle, ServerLoad> all = m_elsewhere;
    for (const auto& [server, load] : m_book.outstanding())
        all[server] = all[server] + load;
    for (const auto& [server, load] : all)
        reply.outstanding.push_back({ server, load });
    for (const ModelDemandReport& demand : request.demands) {
        auto found = m_expected.find({ demand.key.service, demand.key.model });
        if (found != m_expected.end())
            reply.expectations.push_back({ demand.key.service, demand.key.model, std::max<Duration>(found->second - reply.age, Duration::zero()) });
    }
}

//==============================================================================
asio::awaitable<void> FleetRelay::run()
{
    while (!m_isStopping) {
        Instant asked = currentTime();
        m_isHurried = false;
        auto leader = m_hooks.leader();
        if (leader)
            co_await askOnce(*leader);
        for (Duration left = pause(asked, currentTime()); left > Duration::zero() && !m_isStopping; left = pause(asked, currentTime())) {
            m_timer.expires_after(leader ? left : std::min<Duration>(left, leaderlessPause));
            boost::system::error_code ignored;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            if (!leader)
                break;
        }
    }
}

/** What is left of the time until the next call. */
Duration FleetRelay::pause(Instant asked, Instant now)
{
    m_book.expire(now);
    Duration interval = m_book.followers() > 0 || m_hasToldDemand ? m_options.interval : m_options.idleInterval;
    if (m_isHurried)
        interval = urgentFollowInterval;
    if (m_incoming)
        interval = Duration::zero();
    return asked + interval - now;
}

asio::awaitable<void> FleetRelay::askOnce(KeeperId leader)
{
    Instant asked = currentTime();
    ByteString request = encodeFollowRequest(nextRequest(asked));
    auto bytes = co_await m_client.call(endpointOf(leader), PeerMethod::FollowFleet, std::move(request), m_options.timeout);
    if (!bytes)
        co_return;
    auto reply = decodeFollowReply(*bytes);
    if (!reply) {
        logEvent(EventId::CoordinatorRelayUnreadable, { { "leader", formatEndpoint(endpointOf(leader)) }, { "reason", reply.error().detail } });
        co_return;
    }
    if (reply->isCurrent)
        take(std::move(*reply), asked);
}

FollowRequest FleetRelay::nextRequest(Instant now)
{
    m_book.expire(now);
    const FleetTable& table = m_incoming ? *m_incoming : m_table;
    FollowRequest request;
    request.host = m_identity.host;
    request.relay = m_identity.coordinator;
    request.dataCentre = m_identity.dataCentre;
    request.gateways = m_book.gateways();
    request.configuration = std::max(m_hooks.version(), m_configuration.version);
    request.epoch = table.epoch();
    request.revision = table.revision();
    for (const auto& [key, wanted] : m_book.wanted())
        m_news.try_emplace(key, News { 0, 0, wanted.ranks.begin()->first });
    for (const auto& [key, news] : m_news) {
        auto wanted = m_book.wanted().find(key);
        bool isWanted = wanted != m_book.wanted().end();
        request.demands.push_back({ key, isWanted ? wanted->second.waiting : 0, isWanted ? wanted->second.active : 0, news.arrivals, news.refused, news.rank });
    }
    m_news.clear();
    request.leaving.assign(m_leaving.begin(), m_leaving.end());
    // Gateways say it again until the list does.
    m_leaving.clear();
    m_hasToldDemand = !request.demands.empty();
    // Handles of the list before mean nothing to the leader.
    m_reported.clear();
    if (!m_incoming)
        m_reported = m_book.outstanding();
    for (const auto& [server, load] : m_reported)
        request.outstanding.push_back({ server, load });
    return request;
}

void FleetRelay::take(FollowReply reply, Instant asked)
{
    if (reply.listAge)
        takeServers(reply);
    if (reply.version > m_configuration.version && !reply.configuration.empty())
        m_configuration = { reply.version, std::move(reply.configuration) };
    m_hasCaughtUp = m_hasCaughtUp || std::max(m_hooks.version(), m_configuration.version) >= reply.version;
    m_asked = asked;
    m_expected.clear();
    for (const ModelExpectation& expectation : reply.expectations)
        m_expected[{ expectation.service, expectation.model }] = expectation.remaining;
    m_elsewhere.clear();
    for (const ServerOutstanding& each : reply.outstanding) {
        auto own = m_reported.find(each.server);
        m_elsewhere[each.server] = own == m_reported.end() ? each.load : each.load - own->second;
    }
    reply.servers.clear();
    reply.gone.clear();
    m_said = std::move(reply);
}

/** A list of another epoch takes the place of the one before once it is whole. */
void FleetRelay::takeServers(const FollowReply& reply)
{
    if (reply.isWhole)
        m_incoming.emplace();
    FleetTable& table = m_incoming ? *m_incoming : m_table;
    table.take(reply);
    if (!m_incoming || reply.hasMore)
        return;
    m_table = std::move(*m_incoming);
    m_incoming.reset();
    m_reported.clear();
    m_book.begin(m_table.epoch());
}

} // namespace hemlockchute
