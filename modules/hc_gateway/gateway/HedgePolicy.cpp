#include "gateway/HedgePolicy.h"

#include <algorithm>

namespace hemlockchute {
namespace {

RetryBudget::Options shareOptions(const HedgePolicy::Options& options)
{
    RetryBudget::Options share = RetryBudget::Options().withRatio(options.ratio).withAllowance(0).withWindow(options.window);
    // Each host counts its own requests, so nothing is kept for hosts whose counts differ.
    share.usableFraction = 1;
    return share;
}

} // namespace

HedgePolicy::Options HedgePolicy::Options::withRatio(double value) const
{
    Options copy = *this;
    copy.ratio = value;
    return copy;
}

HedgePolicy::Options HedgePolicy::Options::withMinimumDelay(Duration value) const
{
    Options copy = *this;
    copy.minimumDelay = value;
    return copy;
}

HedgePolicy::HedgePolicy(Options options)
    : m_options(options)
    , m_share(shareOptions(options))
{
}

HedgePolicy::Service& HedgePolicy::serviceOf(const ServiceName& name)
{
    return m_services.try_emplace(name, m_options.times).first->second;
}

void HedgePolicy::noteRequest(const ServiceName& service, Instant now)
{
    if (isEnabled())
        m_share.noteRequest(service, now);
}

void HedgePolicy::noteHeadTime(const ServiceName& service, Duration duration, Instant now)
{
    if (isEnabled())
        serviceOf(service).headTimes.add(duration, now);
}

void HedgePolicy::addWaiting(const ServiceName& service, int change)
{
    if (isEnabled())
        serviceOf(service).waiting += change;
}

std::optional<Duration> HedgePolicy::delay(const ServiceName& service, Instant now)
{
    if (!isEnabled())
        return std::nullopt;
    auto quantile = serviceOf(service).headTimes.value(now);
    return quantile ? std::optional(std::max(*quantile, m_options.minimumDelay)) : std::nullopt;
}

std::optional<HedgePolicy::Obstacle> HedgePolicy::tryHedge(const ServiceName& service, const Situation& situation, RetryBudget& retries, Instant now)
{
    auto found = obstacle(service, situation, retries, now);
    if (found)
        return found;
    m_share.tryResend(service, now);
    retries.tryResend(service, now);
    return std::nullopt;
}

std::optional<HedgePolicy::Obstacle> HedgePolicy::obstacle(const ServiceName& service, const Situation& situation, RetryBudget& retries, Instant now)
{
    if (!delay(service, now))
        return Obstacle::FewSamples;
    if (situation.isStopping)
        return Obstacle::GatewayStops;
    if (situation.isSuspect)
        return Obstacle::Suspect;
    if (!situation.hasAttempt)
        return Obstacle::NoAttempt;
    if (!situation.hasTime)
        return Obstacle::NoTime;
    if (situation.isAccessRevoked)
        return Obstacle::AccessRevoked;
    if (serviceOf(service).waiting > 0)
        return Obstacle::RequestsWait;
    if (situation.hasPausedServer)
        return Obstacle::ServersPaused;
    if (situation.hasLimitedServer)
        return Obstacle::ServersLimited;
    if (!situation.hasFreeServer)
        return Obstacle::NoFreeServer;
    if (!m_share.allowsResend(service, now))
        return Obstacle::Ratio;
    if (!retries.allowsResend(service, now))
        return Obstacle::RetryBudget;
    return std::nullopt;
}

std::string_view HedgePolicy::nameOf(Obstacle obstacle)
{
    static constexpr std::string_view names[] = { "few-samples", "gateway-stops", "suspect", "no-attempt", "no-time", "access-revoked", "requests-wait", "servers-paused", "servers-limited", "no-free-server", "ratio", "retry-budget" };
    return names[static_cast<std::size_t>(obstacle)];
}

} // namespace hemlockchute
