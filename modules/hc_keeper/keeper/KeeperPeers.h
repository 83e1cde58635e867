#pragma once

#include "hemlockchute/peer/peer.h"
#include "keeper/KeeperMessages.h"

#include <memory>

namespace hemlockchute {

//==============================================================================
/**
    The other keepers: their addresses, their latest status reports, and messages to them.

    Thread safety: every method may be called from any thread.

    @see AgreementGroup
*/
class KeeperPeers {
public:
    KeeperPeers(PeerClient&, KeeperId self, const std::vector<KeeperAddress>&, const Clock&);
    ~KeeperPeers();

    /** Adds or updates addresses; keepers that are not listed keep theirs. */
    void setAddresses(const std::vector<KeeperAddress>&);
    std::optional<Endpoint> address(KeeperId) const;
    /** The other keepers whose address is known. */
    std::vector<KeeperId> others() const;

    /** Sends a message without waiting; drops it when too many messages to that keeper are unanswered. */
    void send(const AgreementMessage&);
    /** Requests the status of every other keeper that has no request pending. */
    void poll();
    /** The reports that are recent enough to use. */
    std::map<KeeperId, KeeperReport> reports() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
