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

/** How often to check for a leader while none is known. */
constexpr Duration leaderCheckInterval = 50ms;
/** Bound on each list of records of prompt parts that waits for the leader. */
constexpr std::size_t maximumRecords = 8192;
/** Longer than a failover; older verdicts of a leader may have been lifted since. */
constexpr Duration verdictLifetime = 1min;

template <typename Item>
void append(std::vector<Item>& to, const std::vector<Item>& from)
{
    std::size_t count = std::min(from.size(), maximumRecords - std::min(to.size(), maximumRecords));
    to.insert(to.end(), from.begin(), from.begin() + static_cast<std::ptrdiff_t>(count));
}

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

void FleetRelay::pollSoon()
{
    if (!std::exchange(m_isPollRequested, true))
        m_timer.cancel();
}

//==============================================================================
void FleetRelay::recordDemand(const FollowRequest& request, Instant now)
{
    // Without a current reply, the gateway reports to another coordinator; its demand must not count twice.
    if (!isCurrent(now) && !request.isLast) {
        pollSoon();
        return;
    }
    bool isUrgent = m_gateways.followers() == 0;
    for (const ModelDemandReport& demand : request.demands) {
        auto known = m_gateways.wanted().find(demand.key);
        isUrgent = isUrgent || (demand.waiting > 0 && (known == m_gateways.wanted().end() || known->second.waiting == 0));
        auto [found, isNew] = m_unreportedDemand.try_emplace(demand.key);
        UnreportedDemand& unreported = found->second;
        unreported.arrivals += demand.arrivals;
        unreported.refused += demand.refused;
        unreported.rank = isNew ? demand.rank : std::min(unreported.rank, demand.rank);
    }
    m_leaving.insert(request.leaving.begin(), request.leaving.end());
    m_ended.insert(request.ended.begin(), request.ended.end());
    for (const RateLimitNotice& notice : request.rateLimits)
        isUrgent = m_rateLimits.note(notice) || isUrgent;
    collectPromptParts(request.promptParts);
    if (!request.promptParts.crashes.empty())
        m_lastCrash = now;
    isUrgent = isUrgent || !request.promptParts.crashes.empty() || !request.promptParts.refused.empty();
    m_gateways.recordReport(request, now);
    if (request.isLast)
        m_quotas.forget(request.host);
    if (isUrgent)
        pollSoon();
}

bool FleetRelay::isCurrent(Instant now) const
{
    return m_replyRequestedAt && now - *m_replyRequestedAt < m_options.lifetime && m_table.epoch() == m_lastReply.epoch;
}

void FleetRelay::fill(FollowReply& reply, const FollowRequest& request, Instant now)
{
    m_gateways.expire(now);
    reply.isCurrent = true;
    reply.age = now - *m_replyRequestedAt;
    reply.leader = m_lastReply.leader;
    reply.relays = m_lastReply.relays;
    reply.gateways = m_lastReply.gateways;
    reply.followers = m_gateways.followers();
    if (m_lastReply.listAge)
        reply.listAge = *m_lastReply.listAge + reply.age;
    m_table.fill(reply, request);
    reply.suspectParts = m_lastReply.suspectParts;
    for (SuspectPart& suspect : reply.suspectParts)
        suspect.untilTrial = std::max<Duration>(suspect.untilTrial - reply.age, Duration::zero());
    for (const std::vector<PromptPartKey>& parts : request.promptParts.refused)
        passTrialOn(reply, parts, now);
    reply.rateLimits = m_rateLimits.notices();
    reply.rateGrants = m_rateGrants.take(request.host, request.rateDemands, now);
    fillQuotas(reply, request);
    std::map<ServerHandle, ServerLoad> all = m_otherOutstanding;
    for (const auto& [server, load] : m_gateways.outstanding())
        all[server] = all[server] + load;
    for (const auto& [server, load] : all)
        reply.outstanding.push_back({ server, load });
    for (const ModelDemandReport& demand : request.demands) {
        auto found = m_expected.find({ demand.key.service, demand.key.model });
        if (found != m_expected.end())
            reply.expectations.push_back({ demand.key.service, demand.key.model, std::max<Duration>(found->second - reply.age, Duration::zero()) });
    }
}

/** Fills in the leader's confirmation, and units of quotas from what it granted. */
void FleetRelay::fillQuotas(FollowReply& reply, const FollowRequest& request)
{
    if (!m_confirmed)
        return;
    Instant now = m_suspendAwareClock.now();
    reply.confirmedAge = now - *m_confirmed;
    reply.quotaGrants = m_quotas.take(request.host, request.quotaReports, now);
    for (std::size_t i = 0; i < reply.quotaGrants.size(); ++i) {
        const QuotaGrant& grant = reply.quotaGrants[i];
        if (!grant.isExhausted && grant.granted < request.quotaReports[i].waiting)
            pollSoon();
    }
}

//==============================================================================
asio::awaitable<void> FleetRelay::run()
{
    while (!m_isStopping) {
        Instant asked = currentTime();
        m_isPollRequested = false;
        auto leader = m_hooks.leader();
        if (leader)
            co_await pollOnce(*leader);
        for (Duration left = timeToNextPoll(asked, currentTime()); left > Duration::zero() && !m_isStopping; left = timeToNextPoll(asked, currentTime())) {
            m_timer.expires_after(leader ? left : std::min<Duration>(left, leaderCheckInterval));
            boost::system::error_code ignored;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            if (!leader)
                break;
        }
    }
}

/** Time left until the next poll; zero or less if it is due. */
Duration FleetRelay::timeToNextPoll(Instant asked, Instant now)
{
    m_gateways.expire(now);
    Duration interval = m_gateways.followers() > 0 || m_hasReportedDemand ? m_options.interval : m_options.idleInterval;
    if (m_lastCrash && now - *m_lastCrash < verdictExpectationTime)
        interval = std::min(interval, minimumVerdictInterval);
    if (m_isPollRequested)
        interval = urgentFollowInterval;
    if (m_incoming || m_hasMoreConfiguration)
        interval = Duration::zero();
    return asked + interval - now;
}

asio::awaitable<void> FleetRelay::pollOnce(KeeperId leader)
{
    Instant asked = currentTime();
    Instant askedSuspendAware = m_suspendAwareClock.now();
    m_hasMoreConfiguration = false;
    FollowRequest sent = nextRequest(asked);
    ByteString request = encodeFollowRequest(sent);
    auto bytes = co_await m_client.call(endpointOf(leader), PeerMethod::FollowFleet, std::move(request), m_options.timeout);
    auto reply = bytes ? decodeFollowReply(*bytes) : FleetMessageResult<FollowReply>(failure(FleetMessageErrorCode::Malformed, bytes.error().detail));
    if (!reply || !reply->isCurrent)
        collectPromptParts(sent.promptParts);
    if (!bytes)
        co_return;
    if (!reply) {
        logEvent(EventId::CoordinatorRelayUnreadable, { { "leader", formatEndpoint(endpointOf(leader)) }, { "reason", reply.error().detail } });
        co_return;
    }
    if (reply->isCurrent)
        applyReply(std::move(*reply), asked, askedSuspendAware);
}

FollowRequest FleetRelay::nextRequest(Instant now)
{
    m_gateways.expire(now);
    const FleetTable& table = m_incoming ? *m_incoming : m_table;
    FollowRequest request;
    request.host = m_identity.host;
    request.relay = m_identity.coordinator;
    request.dataCentre = m_identity.dataCentre;
    request.gateways = m_gateways.gateways();
    request.configuration = std::max(m_hooks.version(), m_configuration.version);
    m_assembler.fill(request);
    request.epoch = table.epoch();
    request.revision = table.revision();
    for (const auto& [key, wanted] : m_gateways.wanted())
        m_unreportedDemand.try_emplace(key, UnreportedDemand { 0, 0, wanted.ranks.begin()->first });
    for (const auto& [key, unreported] : m_unreportedDemand) {
        auto wanted = m_gateways.wanted().find(key);
        bool isWanted = wanted != m_gateways.wanted().end();
        request.demands.push_back({ key, isWanted ? wanted->second.waiting : 0, isWanted ? wanted->second.active : 0, unreported.arrivals, unreported.refused, unreported.rank });
    }
    m_unreportedDemand.clear();
    request.leaving.assign(m_leaving.begin(), m_leaving.end());
    // If this report is lost, gateways repeat the notice until the list shows the server as leaving.
    m_leaving.clear();
    request.ended.assign(m_ended.begin(), m_ended.end());
    m_ended.clear();
    request.promptParts = takePromptParts(now);
    m_rateLimits.expire(now);
    request.rateLimits = m_rateLimits.notices();
    request.rateDemands = m_rateGrants.unmetDemand(now);
    request.quotaReports = m_quotas.reports(m_suspendAwareClock.now());
    m_hasReportedDemand = !request.demands.empty();
    // Handles are valid within one epoch only, so none are reported while the list of a new epoch arrives.
    m_reportedOutstanding.clear();
    if (!m_incoming)
        m_reportedOutstanding = m_gateways.outstanding();
    for (const auto& [server, load] : m_reportedOutstanding)
        request.outstanding.push_back({ server, load });
    return request;
}

/** Leaves a trial of exactly these parts to the gateway that is answered, if the leader left it to this relay. */
void FleetRelay::passTrialOn(FollowReply& reply, const std::vector<PromptPartKey>& parts, Instant now)
{
    bool isPermitted = std::all_of(parts.begin(), parts.end(), [&](PromptPartKey part) {
        auto trial = m_trialParts.find(part);
        return trial != m_trialParts.end() && now < trial->second;
    });
    if (!isPermitted)
        return;
    reply.trialParts.insert(reply.trialParts.end(), parts.begin(), parts.end());
    for (PromptPartKey part : parts)
        m_trialParts.erase(part);
}

void FleetRelay::collectPromptParts(const PromptPartReport& report)
{
    append(m_promptParts.crashes, report.crashes);
    append(m_promptParts.progress, report.progress);
    append(m_promptParts.refused, report.refused);
    append(m_promptParts.quarantined, report.quarantined);
}

/** The collected report, with one entry per part. */
PromptPartReport FleetRelay::takePromptParts(Instant now)
{
    PromptPartReport report = std::exchange(m_promptParts, {});
    std::map<PromptPartKey, Instant> progress;
    for (const PartProgress& each : report.progress) {
        Instant& last = progress[each.part];
        last = std::max(last, each.at);
    }
    report.progress.clear();
    for (const auto& [part, at] : progress)
        report.progress.push_back({ part, at });
    std::sort(report.refused.begin(), report.refused.end());
    report.refused.erase(std::unique(report.refused.begin(), report.refused.end()), report.refused.end());
    // What the last leader said is known here even if no gateway has repeated it yet.
    append(report.quarantined, quarantined(now));
    std::map<PromptPartKey, SuspectPart> latest;
    for (const SuspectPart& each : report.quarantined) {
        SuspectPart& kept = latest.try_emplace(each.part, each).first->second;
        kept.failedTrials = std::max(kept.failedTrials, each.failedTrials);
        kept.untilTrial = std::max(kept.untilTrial, each.untilTrial);
    }
    report.quarantined.clear();
    for (const auto& [part, suspect] : latest)
        report.quarantined.push_back(suspect);
    return report;
}

std::vector<SuspectPart> FleetRelay::quarantined(Instant now) const
{
    std::vector<SuspectPart> all;
    if (!m_replyRequestedAt || now - *m_replyRequestedAt > verdictLifetime)
        return all;
    for (SuspectPart suspect : m_lastReply.suspectParts) {
        suspect.untilTrial = std::max<Duration>(suspect.untilTrial - (now - *m_replyRequestedAt), Duration::zero());
        if (suspect.isQuarantined)
            all.push_back(suspect);
    }
    return all;
}

void FleetRelay::applyReply(FollowReply reply, Instant asked, Instant askedSuspendAware)
{
    if (reply.listAge)
        applyServers(reply);
    applyConfiguration(reply);
    m_hasCaughtUp = m_hasCaughtUp || std::max(m_hooks.version(), m_configuration.version) >= reply.version;
    m_replyRequestedAt = asked;
    for (PromptPartKey part : reply.trialParts)
        m_trialParts[part] = asked + m_options.trialLifetime;
    for (const RateLimitNotice& notice : reply.rateLimits)
        m_rateLimits.note(notice);
    m_rateGrants.deposit(reply.rateGrants, asked);
    m_confirmed = reply.confirmedAge ? std::optional(askedSuspendAware - *reply.confirmedAge) : std::nullopt;
    if (m_confirmed)
        m_quotas.deposit(reply.quotaGrants, askedSuspendAware);
    m_expected.clear();
    for (const ModelExpectation& expectation : reply.expectations)
        m_expected[{ expectation.service, expectation.model }] = expectation.remaining;
    m_otherOutstanding.clear();
    for (const ServerOutstanding& each : reply.outstanding) {
        auto own = m_reportedOutstanding.find(each.server);
        m_otherOutstanding[each.server] = own == m_reportedOutstanding.end() ? each.load : each.load - own->second;
    }
    reply.servers.clear();
    reply.gone.clear();
    reply.configuration.clear();
    m_lastReply = std::move(reply);
}

/** A list of a new epoch replaces the current one only once all its parts have arrived. */
void FleetRelay::applyServers(const FollowReply& reply)
{
    if (reply.isWhole)
        m_incoming.emplace();
    FleetTable& table = m_incoming ? *m_incoming : m_table;
    table.apply(reply);
    if (!m_incoming || reply.hasMoreServers())
        return;
    m_table = std::move(*m_incoming);
    m_incoming.reset();
    m_reportedOutstanding.clear();
    m_gateways.beginEpoch(m_table.epoch());
}

void FleetRelay::applyConfiguration(const FollowReply& reply)
{
    if (reply.version <= m_configuration.version)
        return;
    auto body = m_assembler.receive(reply);
    m_hasMoreConfiguration = m_assembler.expectsMore();
    if (!body)
        logEvent(EventId::CoordinatorRelayUnreadable, { { "leader", formatEndpoint(endpointOf(reply.leader)) }, { "reason", body.error().detail } });
    else if (*body)
        m_configuration = { reply.version, std::move(**body) };
}

} // namespace hemlockchute
