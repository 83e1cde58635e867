#include "keeper/KeeperPeers.h"

#include <mutex>

namespace hemlockchute {
namespace {

constexpr Duration messageTimeout = 1s;
constexpr Duration pollTimeout = 1s;
/** Older reports are ignored. */
constexpr Duration reportLifetime = 3s;
/** Bound on unanswered messages to one keeper; further ones are dropped. */
constexpr unsigned maximumUnansweredMessages = 64;

} // namespace

struct KeeperPeers::Impl : std::enable_shared_from_this<KeeperPeers::Impl> {
    struct Other {
        Endpoint address;
        unsigned unanswered = 0;
        bool isPolled = false;
        std::optional<KeeperReport> report;
        Instant lastContact;
    };

    Impl(PeerClient& peerClient, KeeperId id, const Clock& systemClock)
        : client(peerClient)
        , self(id)
        , clock(systemClock)
    {
    }

    void noteMessageAnswered(KeeperId keeper)
    {
        std::lock_guard guard(lock);
        --others[keeper].unanswered;
    }

    void noteReport(KeeperId keeper, const Result<ByteString, PeerErrorCode>& bytes)
    {
        std::lock_guard guard(lock);
        Other& other = others[keeper];
        other.isPolled = false;
        if (!bytes)
            return;
        auto report = decodeKeeperReport(*bytes);
        if (!report || report->status.self != keeper)
            return;
        other.report = std::move(*report);
        other.lastContact = clock.now();
    }

    PeerClient& client;
    const KeeperId self;
    const Clock& clock;
    std::mutex lock;
    std::map<KeeperId, Other> others;
};

KeeperPeers::KeeperPeers(PeerClient& client, KeeperId self, const std::vector<KeeperAddress>& addresses, const Clock& clock)
    : m_impl(std::make_shared<Impl>(client, self, clock))
{
    setAddresses(addresses);
}

KeeperPeers::~KeeperPeers() = default;

void KeeperPeers::setAddresses(const std::vector<KeeperAddress>& addresses)
{
    std::lock_guard guard(m_impl->lock);
    for (const KeeperAddress& keeper : addresses) {
        if (keeper.id != m_impl->self)
            m_impl->others[keeper.id].address = keeper.peer;
    }
}

std::optional<Endpoint> KeeperPeers::address(KeeperId keeper) const
{
    std::lock_guard guard(m_impl->lock);
    auto found = m_impl->others.find(keeper);
    if (found == m_impl->others.end())
        return std::nullopt;
    return found->second.address;
}

std::vector<KeeperId> KeeperPeers::others() const
{
    std::lock_guard guard(m_impl->lock);
    std::vector<KeeperId> ids;
    for (const auto& [id, other] : m_impl->others)
        ids.push_back(id);
    return ids;
}

void KeeperPeers::send(const AgreementMessage& message)
{
    KeeperId to = message.to.keeper;
    Endpoint address;
    {
        std::lock_guard guard(m_impl->lock);
        auto found = m_impl->others.find(to);
        if (found == m_impl->others.end() || found->second.unanswered >= maximumUnansweredMessages)
            return;
        ++found->second.unanswered;
        address = found->second.address;
    }
    m_impl->client.call(address, PeerMethod::Agreement, encodeMessage(message), messageTimeout,
        [impl = m_impl, to](const Result<ByteString, PeerErrorCode>&) { impl->noteMessageAnswered(to); });
}

void KeeperPeers::poll()
{
    std::vector<std::pair<KeeperId, Endpoint>> due;
    {
        std::lock_guard guard(m_impl->lock);
        for (auto& [id, other] : m_impl->others) {
            if (!std::exchange(other.isPolled, true))
                due.emplace_back(id, other.address);
        }
    }
    for (const auto& [id, address] : due) {
        m_impl->client.call(address, PeerMethod::ReadStatus, {}, pollTimeout,
            [impl = m_impl, keeper = id](const Result<ByteString, PeerErrorCode>& bytes) { impl->noteReport(keeper, bytes); });
    }
}

std::map<KeeperId, KeeperReport> KeeperPeers::reports() const
{
    std::lock_guard guard(m_impl->lock);
    std::map<KeeperId, KeeperReport> reports;
    Instant now = m_impl->clock.now();
    for (const auto& [id, other] : m_impl->others) {
        if (other.report && now - other.lastContact < reportLifetime)
            reports[id] = *other.report;
    }
    return reports;
}

} // namespace hemlockchute
