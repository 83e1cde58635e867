#include "hemlockchute/peer/DocumentFollower.h"

#include "hemlockchute/core/EventLog.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <mutex>

namespace hemlockchute {
namespace {

/** Longer than the one second for which a source holds a call. */
constexpr Duration followTimeout = 2500ms;
/** Back-off after every source has failed. */
constexpr Duration failureBackoff = 200ms;
/** One in this many rounds calls each source in turn, in case the preferred one is itself partitioned off. */
constexpr unsigned roundsPerCheck = 3;

} // namespace

//==============================================================================
struct DocumentFollower::Impl : std::enable_shared_from_this<DocumentFollower::Impl> {
    Impl(boost::asio::io_context& context, PeerClient& peerClient, DocumentSource& documentSource, HostName host, std::vector<Endpoint> endpoints)
        : timer(context)
        , client(peerClient)
        , target(documentSource)
        , self(std::move(host))
        , sources(std::move(endpoints))
    {
    }

    void poll()
    {
        std::lock_guard guard(lock);
        if (isStopped)
            return;
        ++round;
        bool isCheck = round % roundsPerCheck == 0;
        std::size_t index = isCheck ? (round / roundsPerCheck) % sources.size() : preferred;
        client.call(sources[index], PeerMethod::FollowDocument, request(isCheck), followTimeout, [impl = shared_from_this(), index, isCheck](const Result<ByteString, PeerErrorCode>& bytes) {
            impl->processReply(bytes, index, isCheck);
        });
    }

    ByteString request(bool isCheck) const
    {
        FollowRequest request;
        request.isCheck = isCheck;
        DocumentPointer current = target.current();
        if (!needsWholeDocument) {
            request.version = current->version;
            request.digest = current->digest;
        }
        if (!isCheck)
            request.inForce = versionsInForce(current->version);
        return encodeFollowRequest(request);
    }

    std::map<HostName, DocumentVersion> versionsInForce(DocumentVersion ownVersion) const
    {
        std::map<HostName, DocumentVersion> versions = target.inForce();
        auto [own, isNew] = versions.emplace(self, ownVersion);
        own->second = std::min(own->second, ownVersion);
        return versions;
    }

    void processReply(const Result<ByteString, PeerErrorCode>& bytes, std::size_t index, bool isCheck)
    {
        bool isAnswered = bytes && applyReply(*bytes);
        {
            std::lock_guard guard(lock);
            if (isAnswered && (index < preferred || !isCheck)) {
                preferred = index;
                failures = 0;
            } else if (!isAnswered && !isCheck) {
                preferred = (preferred + 1) % sources.size();
                ++failures;
            }
        }
        bool mustBackOff = !isAnswered && failures > 0 && failures % sources.size() == 0;
        if (mustBackOff)
            pollAfterBackoff();
        else
            poll();
    }

    void pollAfterBackoff()
    {
        std::lock_guard guard(lock);
        if (isStopped)
            return;
        timer.expires_after(failureBackoff);
        timer.async_wait([impl = shared_from_this()](const boost::system::error_code& error) {
            if (!error)
                impl->poll();
        });
    }

    /** Returns false when the reply cannot be decoded or applied. */
    bool applyReply(const ByteString& bytes)
    {
        auto reply = decodeFollowReply(bytes);
        if (!reply)
            return false;
        if (!reply->delta && !reply->text)
            return true;
        auto document = makeDocument(*reply);
        needsWholeDocument = !document;
        if (!document) {
            std::string what = document.error().empty() ? "no fault named" : document.error().front().text();
            logEvent(EventId::DocumentUnreadable, { { "version", reply->version }, { "what", what } });
            return false;
        }
        target.offer(std::make_shared<const Document>(std::move(*document)));
        return true;
    }

    tl::expected<Document, DocumentFaults> makeDocument(const FollowReply& reply) const
    {
        if (reply.delta)
            return applyDelta(*target.current(), *reply.delta);
        return parseDocument(*reply.text, reply.version);
    }

    std::mutex lock;
    boost::asio::steady_timer timer;
    PeerClient& client;
    DocumentSource& target;
    const HostName self;
    const std::vector<Endpoint> sources;
    std::size_t preferred = 0;
    std::uint64_t round = 0;
    std::size_t failures = 0;
    std::atomic<bool> needsWholeDocument { false };
    bool isStopped = false;
};

//==============================================================================
DocumentFollower::DocumentFollower(boost::asio::io_context& context, PeerClient& client, DocumentSource& target, HostName self, std::vector<Endpoint> sources)
    : m_impl(std::make_shared<Impl>(context, client, target, std::move(self), std::move(sources)))
{
    assert(!m_impl->sources.empty());
}

DocumentFollower::~DocumentFollower()
{
    stop();
}

void DocumentFollower::start()
{
    m_impl->poll();
}

void DocumentFollower::stop()
{
    std::lock_guard guard(m_impl->lock);
    m_impl->isStopped = true;
    m_impl->timer.cancel();
}

} // namespace hemlockchute
