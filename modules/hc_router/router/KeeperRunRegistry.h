#pragma once

#include "hemlockchute/router/RunRegistry.h"

namespace hemlockchute {

//==============================================================================
/** A run registry backed by the keepers. Thread safety: as KeeperClient. */
class KeeperRunRegistry : public RunRegistry {
public:
    KeeperRunRegistry(PeerClient& client, std::vector<KeeperAddress> keepers)
        : m_keepers(client, std::move(keepers))
    {
    }

    boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> propose(CommandBody command, Duration timeout) override
    {
        auto answer = co_await m_keepers.propose(std::move(command), timeout);
        if (!answer)
            co_return tl::unexpected(answer.error());
        RunAnswer* run = std::get_if<RunAnswer>(&*answer);
        if (!run)
            co_return failure(KeeperClientErrorCode::Unknown, "the keepers answered something else");
        co_return std::move(*run);
    }

    boost::asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> readRun(IdempotencyKey key, Duration timeout) override
    {
        return m_keepers.readRun(std::move(key), timeout);
    }

private:
    KeeperClient m_keepers;
};

} // namespace hemlockchute
