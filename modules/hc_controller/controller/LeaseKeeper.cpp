#include "hemlockchute/controller/LeaseKeeper.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

constexpr unsigned wholePerMille = 1000;

} // namespace

LeaseKeeper::Options LeaseKeeper::Options::withLease(Duration value) const
{
    Options copy = *this;
    copy.lease = value;
    return copy;
}

LeaseKeeper::Options LeaseKeeper::Options::withDriftPerMille(unsigned value) const
{
    Options copy = *this;
    copy.driftPerMille = value;
    return copy;
}

LeaseKeeper::LeaseKeeper(DataCentreName dataCentre, HostName self, std::vector<HostName> hosts, std::string attemptPrefix, Instant startedAt, Options options)
    : m_dataCentre(std::move(dataCentre))
    , m_self(std::move(self))
    , m_hosts(std::move(hosts))
    , m_attemptPrefix(std::move(attemptPrefix))
    , m_options(options)
    // A promise of an earlier life may have been forgotten.
    , m_maySeekFrom(startedAt + options.lease + (options.lease - usablePart(options.lease)))
    , m_nextSeek(m_maySeekFrom + stagger())
{
    assert(std::find(m_hosts.begin(), m_hosts.end(), m_self) != m_hosts.end());
}

//==============================================================================
std::optional<LeaseKeeper::KeeperCommand> LeaseKeeper::nextCommand(Instant now)
{
    dropExpired(now);
    if (m_request && now - m_request->sentAt >= m_options.commandTimeout)
        keeperFailed(m_request->number, now);
    if (m_request || m_isReleasing)
        return std::nullopt;
    if (m_isHolder)
        return now >= m_nextRenewal ? std::optional(makeCommand(RequestKind::Renewal, now)) : std::nullopt;
    bool maySeek = now >= m_maySeekFrom && now >= m_nextSeek;
    return maySeek ? std::optional(makeCommand(RequestKind::Seek, now)) : std::nullopt;
}

LeaseKeeper::KeeperCommand LeaseKeeper::makeCommand(RequestKind kind, Instant now)
{
    m_lastNumber = m_lastNumber.next();
    m_request = Request { m_lastNumber, kind, now };
    if (kind == RequestKind::Renewal)
        return { m_lastNumber, RenewTerm { m_dataCentre, m_self, m_fencing, m_hosts } };
    std::string attempt = m_attemptPrefix + "-" + std::to_string(m_lastNumber.value());
    return { m_lastNumber, AcquireTerm { m_dataCentre, m_self, attempt, m_hosts } };
}

void LeaseKeeper::keeperAnswered(RequestNumber number, const TermAnswer& answer, Instant now)
{
    dropExpired(now);
    if (!m_request || m_request->number != number)
        return;
    Request request = *m_request;
    m_request.reset();
    if (answer.granted)
        takeGrant(request, answer, now);
    else
        takeRefusal(answer, now);
}

void LeaseKeeper::takeGrant(const Request& request, const TermAnswer& answer, Instant now)
{
    bool isRenewal = request.kind == RequestKind::Renewal;
    if (isRenewal && (!m_isHolder || answer.fencing != m_fencing))
        return;
    if (!isRenewal) {
        m_isHolder = true;
        m_fencing = answer.fencing;
        m_ordersFrom = now + answer.wait;
        m_leaseEnd = request.sentAt;
        m_round.reset();
    }
    extendLease(request.sentAt, answer.lease, now);
    m_nextRenewal = request.sentAt + m_options.renewInterval;
    m_nextRound = now;
}

void LeaseKeeper::takeRefusal(const TermAnswer& answer, Instant now)
{
    m_isHolder = false;
    m_round.reset();
    m_knownLeader = answer.holder;
    m_knownUntil = now + answer.lease;
    m_nextSeek = now + answer.lease + stagger();
}

void LeaseKeeper::keeperFailed(RequestNumber number, Instant now)
{
    if (!m_request || m_request->number != number)
        return;
    bool wasSeek = m_request->kind == RequestKind::Seek;
    m_request.reset();
    if (wasSeek)
        m_nextSeek = now + m_options.renewInterval + stagger();
    else
        m_nextRenewal = now + m_options.promiseInterval;
}

//==============================================================================
std::optional<LeaseKeeper::PromiseRound> LeaseKeeper::nextPromiseRound(Instant now)
{
    dropExpired(now);
    bool isDue = m_isHolder && !m_isReleasing && now >= m_nextRound && m_leaseEnd - now < m_options.promiseThreshold;
    if (!isDue)
        return std::nullopt;
    m_nextRound = now + m_options.promiseInterval;
    m_lastNumber = m_lastNumber.next();
    m_round = Round { m_lastNumber, now, { m_hosts.begin(), m_hosts.end() } };
    m_round->missing.erase(m_self);
    PromiseRound round { m_lastNumber, m_fencing, m_options.lease, { m_round->missing.begin(), m_round->missing.end() } };
    if (m_round->missing.empty())
        extendLease(now, m_options.lease, now);
    return round;
}

void LeaseKeeper::promiseAnswered(RequestNumber number, const HostName& from, bool isPromised, Instant now)
{
    dropExpired(now);
    if (!m_isHolder || !m_round || m_round->number != number || !isPromised)
        return;
    bool wasMissing = m_round->missing.erase(from) > 0;
    if (wasMissing && m_round->missing.empty())
        extendLease(m_round->askedAt, m_options.lease, now);
}

bool LeaseKeeper::promise(const HostName& holder, Duration length, Instant now)
{
    dropExpired(now);
    bool isSeeking = m_request && m_request->kind == RequestKind::Seek;
    if (isSeeking || m_isHolder || length > m_options.lease)
        return false;
    m_maySeekFrom = std::max(m_maySeekFrom, now + length);
    m_knownLeader = holder;
    m_knownUntil = now + length;
    return true;
}

//==============================================================================
bool LeaseKeeper::isHolder(Instant now) const
{
    return m_isHolder && !m_isReleasing && now < m_leaseEnd;
}

bool LeaseKeeper::mayOrder(Instant now) const
{
    return isHolder(now) && now >= m_ordersFrom;
}

HostName LeaseKeeper::leader(Instant now) const
{
    if (isHolder(now))
        return m_self;
    return now < m_knownUntil ? m_knownLeader : HostName();
}

std::optional<ReleaseTerm> LeaseKeeper::release(Instant now)
{
    bool mayRelease = mayOrder(now);
    m_isReleasing = true;
    if (!mayRelease)
        return std::nullopt;
    return ReleaseTerm { m_dataCentre, m_self, m_fencing };
}

void LeaseKeeper::noteReleased(Instant now)
{
    m_knownUntil = now;
    m_nextSeek = std::min(m_nextSeek, now + stagger());
}

//==============================================================================
void LeaseKeeper::extendLease(Instant from, Duration length, Instant now)
{
    m_leaseEnd = std::max(m_leaseEnd, from + usablePart(length));
    dropExpired(now);
}

/** A lease that has ended is never extended: the term has to be sought anew. */
void LeaseKeeper::dropExpired(Instant now)
{
    if (!m_isHolder || now < m_leaseEnd)
        return;
    m_isHolder = false;
    m_round.reset();
    m_nextSeek = now + stagger();
    if (m_request && m_request->kind == RequestKind::Renewal)
        m_request.reset();
}

Duration LeaseKeeper::usablePart(Duration length) const
{
    return length - length * m_options.driftPerMille / wholePerMille;
}

Duration LeaseKeeper::stagger() const
{
    auto place = std::find(m_hosts.begin(), m_hosts.end(), m_self) - m_hosts.begin();
    return m_options.seekStagger * place;
}

} // namespace hemlockchute
