#pragma once

#include "hemlockchute/agreement/AgreementMessage.h"
#include "hemlockchute/peer/DocumentFollower.h"
#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/state/Commands.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <vector>

namespace hemlockchute {

/** A member of the keepers' Raft group, as the reporting keeper knows it. */
struct KeeperStatus {
    KeeperId id;
    IncarnationId incarnation;
    bool isVoter = false;
    LogIndex matched;
};

/** The state of the whole system as one keeper knows it. */
struct SystemStatus {
    KeeperId self;
    std::optional<KeeperId> leader;
    AgreementTerm term;
    LogIndex committed;
    DocumentVersion version;
    std::vector<KeeperStatus> keepers;
    /** The document version in force at each host with a recent report. */
    std::map<HostName, DocumentVersion> inForce;
    /** The holder of each data centre's placement term. */
    std::map<DataCentreName, TermAnswer> terms;
};

//==============================================================================
/**
    The operations of a keeper that OperatorApi uses.

    Thread safety: every method may be called from any thread.
*/
class KeeperOperations {
public:
    virtual ~KeeperOperations() = default;

    /** Replicates a command, through this keeper or the leader. */
    virtual boost::asio::awaitable<Result<Answer, KeeperClientErrorCode>> propose(CommandBody, Duration timeout) = 0;
    /** The run record of a key, read at the leader. */
    virtual boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration timeout) = 0;
    /** The newest document at this keeper and the versions in force at other hosts. */
    virtual DocumentSource& documents() = 0;
    virtual SystemStatus status() const = 0;
    /** Adds, removes or replaces a keeper, one membership change at a time; completes once the last one is committed. */
    virtual boost::asio::awaitable<Result<void, AgreementErrorCode>> changeMembers(std::optional<KeeperId> remove, std::optional<KeeperAddress> add, Duration timeout) = 0;
};

} // namespace hemlockchute
