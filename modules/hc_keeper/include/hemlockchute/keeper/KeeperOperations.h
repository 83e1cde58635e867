#pragma once

#include "hemlockchute/agreement/AgreementMessage.h"
#include "hemlockchute/peer/DocumentFollower.h"
#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/state/Commands.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <vector>

namespace hemlockchute {

/** A keeper as another sees it. */
struct KeeperStatus {
    KeeperId id;
    IncarnationId incarnation;
    bool isVoter = false;
    LogIndex matched;
};

/** What a keeper knows of the whole system. */
struct SystemStatus {
    KeeperId self;
    std::optional<KeeperId> leader;
    AgreementTerm term;
    LogIndex committed;
    DocumentVersion version;
    std::vector<KeeperStatus> keepers;
    /** The version in force at each host heard of lately. */
    std::map<HostName, DocumentVersion> inForce;
    /** Who leads each data centre's placement. */
    std::map<DataCentreName, TermAnswer> terms;
};

//==============================================================================
/**
    What the keeper's operator interface asks of the keeper.

    Thread safety: every method may be called from any thread.
*/
class KeeperOperations {
public:
    virtual ~KeeperOperations() = default;

    /** Has a command agreed on, here or at the leader. */
    virtual boost::asio::awaitable<Result<Answer, KeeperClientErrorCode>> propose(CommandBody, Duration timeout) = 0;
    /** The run record of a key, read at the leader. */
    virtual boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration timeout) = 0;
    /** The newest document here and the versions in force at other hosts. */
    virtual DocumentSource& documents() = 0;
    virtual SystemStatus status() const = 0;
    /** Adds, removes or replaces a keeper, one step at a time; comes back once the last step is agreed. */
    virtual boost::asio::awaitable<Result<void, AgreementErrorCode>> changeMembers(std::optional<KeeperId> remove, std::optional<KeeperAddress> add, Duration timeout) = 0;
};

} // namespace hemlockchute
