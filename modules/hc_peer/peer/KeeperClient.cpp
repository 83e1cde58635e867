#include "hemlockchute/peer/KeeperClient.h"

#include "hemlockchute/state/CommandCodec.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

/** Bounds the wait for one keeper, so that an unresponsive one leaves time for the others. */
constexpr Duration maximumAttemptTime = 1500ms;
/** Back-off after no keeper answered as leader, as during an election. */
constexpr Duration roundBackoff = 50ms;
/** No attempt is started with less time left. */
constexpr Duration minimumAttemptTime = 5ms;

/** The result of one call to one keeper. */
enum class AttemptOutcome {
    Answered,
    NotAccepted,
    Unknown
};

bool isCertainlyNotAccepted(PeerErrorCode code)
{
    return code == PeerErrorCode::Unreachable || code == PeerErrorCode::NotAuthentic || code == PeerErrorCode::Rejected;
}

} // namespace

//==============================================================================
struct KeeperClient::Impl {
    Impl(PeerClient& peerClient, std::vector<KeeperAddress> addresses)
        : client(peerClient)
        , keepers(std::move(addresses))
    {
    }

    std::size_t preferred() const
    {
        std::lock_guard guard(lock);
        return preferredIndex;
    }

    /** Chooses the keeper to call next: the leader when it is known, otherwise the next one in turn. */
    void noteRedirect(std::size_t asked, KeeperId leader)
    {
        std::lock_guard guard(lock);
        auto found = std::find_if(keepers.begin(), keepers.end(), [&](const KeeperAddress& keeper) { return keeper.id == leader; });
        bool isElsewhere = found != keepers.end() && static_cast<std::size_t>(found - keepers.begin()) != asked;
        preferredIndex = isElsewhere ? static_cast<std::size_t>(found - keepers.begin()) : (asked + 1) % keepers.size();
    }

    PeerClient& client;
    const std::vector<KeeperAddress> keepers;
    mutable std::mutex lock;
    std::size_t preferredIndex = 0;
};

namespace {

/** One call, sent to one keeper after another until one answers as leader. */
template <typename Impl>
class KeeperCall {
public:
    KeeperCall(std::shared_ptr<Impl> impl, PeerMethod method, ByteString payload, Duration timeout)
        : m_impl(std::move(impl))
        , m_method(method)
        , m_payload(std::move(payload))
        , m_deadline(std::chrono::steady_clock::now() + timeout)
    {
    }

    asio::awaitable<Result<ByteString, KeeperClientErrorCode>> run()
    {
        for (std::size_t attempt = 0; remaining() > minimumAttemptTime; ++attempt) {
            if (attempt > 0 && attempt % m_impl->keepers.size() == 0)
                co_await backOff();
            AttemptOutcome outcome = co_await callKeeper(m_impl->preferred());
            if (outcome == AttemptOutcome::Answered)
                co_return std::move(m_answer);
            m_mayBeAccepted = m_mayBeAccepted || outcome == AttemptOutcome::Unknown;
        }
        if (m_mayBeAccepted)
            co_return failure(KeeperClientErrorCode::Unknown, "a keeper may have taken the command in: " + m_lastDetail);
        co_return failure(KeeperClientErrorCode::NotAccepted, "no keeper took the command in: " + m_lastDetail);
    }

private:
    Duration remaining() const { return m_deadline - std::chrono::steady_clock::now(); }

    asio::awaitable<void> backOff()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(std::min(roundBackoff, remaining()));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<AttemptOutcome> callKeeper(std::size_t index)
    {
        Duration timeout = std::clamp(remaining(), minimumAttemptTime, maximumAttemptTime);
        auto bytes = co_await m_impl->client.call(m_impl->keepers[index].peer, m_method, m_payload, timeout);
        if (!bytes) {
            m_lastDetail = bytes.error().detail;
            m_impl->noteRedirect(index, KeeperId());
            co_return isCertainlyNotAccepted(bytes.error().code) ? AttemptOutcome::NotAccepted : AttemptOutcome::Unknown;
        }
        auto reply = decodeKeeperReply(*bytes);
        co_return processReply(index, reply);
    }

    AttemptOutcome processReply(std::size_t index, const Result<KeeperReply, PeerErrorCode>& reply)
    {
        if (!reply) {
            m_lastDetail = reply.error().detail;
            m_impl->noteRedirect(index, KeeperId());
            return AttemptOutcome::Unknown;
        }
        if (reply->kind == KeeperReply::Kind::Answered) {
            m_answer = reply->answer;
            return AttemptOutcome::Answered;
        }
        m_lastDetail = "the keeper asked does not lead";
        m_impl->noteRedirect(index, reply->leader);
        return reply->kind == KeeperReply::Kind::NotLeader ? AttemptOutcome::NotAccepted : AttemptOutcome::Unknown;
    }

    std::shared_ptr<Impl> m_impl;
    PeerMethod m_method;
    ByteString m_payload;
    Instant m_deadline;
    ByteString m_answer;
    std::string m_lastDetail = "no time was left to ask";
    bool m_mayBeAccepted = false;
};

/** Decodes an answer. An undecodable one gives Unknown, since the keeper that sent it accepted the command. */
Result<Answer, KeeperClientErrorCode> readAnswer(const ByteString& bytes)
{
    auto answer = decodeAnswer(bytes);
    if (!answer)
        return failureBecause(KeeperClientErrorCode::Unknown, answer.error());
    return *answer;
}

} // namespace

//==============================================================================
KeeperClient::KeeperClient(PeerClient& client, std::vector<KeeperAddress> keepers)
    : m_impl(std::make_shared<Impl>(client, std::move(keepers)))
{
}

KeeperClient::~KeeperClient() = default;

asio::awaitable<Result<Answer, KeeperClientErrorCode>> KeeperClient::propose(CommandBody body, Duration timeout)
{
    Command command;
    command.body = std::move(body);
    KeeperCall<Impl> call(m_impl, PeerMethod::Propose, encodeCommand(command), timeout);
    auto bytes = co_await call.run();
    if (!bytes)
        co_return tl::unexpected(bytes.error());
    co_return readAnswer(*bytes);
}

asio::awaitable<Result<RunAnswer, KeeperClientErrorCode>> KeeperClient::readRun(IdempotencyKey key, Duration timeout)
{
    KeeperCall<Impl> call(m_impl, PeerMethod::ReadRun, key.text(), timeout);
    auto bytes = co_await call.run();
    if (!bytes)
        co_return tl::unexpected(bytes.error());
    auto answer = readAnswer(*bytes);
    if (!answer)
        co_return tl::unexpected(answer.error());
    if (auto* run = std::get_if<RunAnswer>(&*answer))
        co_return std::move(*run);
    co_return failure(KeeperClientErrorCode::Unknown, "the keeper answered something else than a run");
}

} // namespace hemlockchute
