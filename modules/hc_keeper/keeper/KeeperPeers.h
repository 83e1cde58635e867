#pragma once

#include "hemlockchute/peer/peer.h"
#include "keeper/KeeperMessages.h"

#include <memory>

namespace hemlockchute {

//==============================================================================
/**
    The other keepers: where they are, what they last said of themselves, and messages to them.

    Thread safety: every method may be called from any thread.

    @see AgreementGroup
*/
class KeeperPeers {
public:
    KeeperPeers(PeerClient&, KeeperId self, const std::vector<KeeperAddress>&, const Clock&);
    ~KeeperPeers();

    /** Takes in addresses; those not named stay. */
    void setAddresses(const std::vector<KeeperAddress>&);
    std::optional<Endpoint> address(KeeperId) const;
    /** The other keepers whose address is known. */
    std::vector<KeeperId> others() const;

    /** Sends a message without waiting; loses it when the keeper takes none in. */
    void send(const AgreementMessage&);
    /** Asks every other keeper how it is, unless it still owes an answer. */
    void poll();
    /** What was heard lately. */
    std::map<KeeperId, KeeperReport> reports() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
