#pragma once

#include "hemlockchute/peer/KeeperClient.h"
#include "hemlockchute/state/Commands.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockchute {

//==============================================================================
/**
    Where the runs of calls that may not be repeated are claimed and recorded.

    Thread safety: every method may be called from any thread; a coroutine must run on a strand.

    @see KeeperClient
*/
class RunRegistry {
public:
    virtual ~RunRegistry() = default;

    /** Has one of the commands about runs agreed on. */
    virtual boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> propose(CommandBody, Duration timeout) = 0;
    /** The run record of a key. */
    virtual boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey, Duration timeout) = 0;
};

} // namespace hemlockchute
