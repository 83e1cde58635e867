#pragma once

#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/state/Commands.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockchute {

//==============================================================================
/**
    Claims and records the runs of non-idempotent calls under their idempotency keys.

    Thread safety: every method may be called from any thread; a coroutine must run on a strand.

    @see KeeperClient
*/
class RunRegistry {
public:
    virtual ~RunRegistry() = default;

    /** Proposes a command about a run and waits until it is committed. */
    virtual boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> propose(CommandBody, Duration timeout) = 0;
    /** The run record of a key. */
    virtual boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration timeout) = 0;
};

} // namespace hemlockchute
