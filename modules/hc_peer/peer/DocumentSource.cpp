#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/peer/DocumentFollower.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <malloc.h>
#include <mutex>

namespace hemlockchute {
namespace {

/** Time for which the call of an up-to-date follower is held. */
constexpr Duration holdTime = 1s;
/** Shorter for changePeriod after a new document, so that followers report quickly where it is in force. */
constexpr Duration holdTimeAfterChange = 100ms;
constexpr Duration changePeriod = 2s;
/** Time for which a follower's report of versions in force is valid. */
constexpr Duration inForceLifetime = 3s;
/** Documents kept so that a follower that is a few versions behind gets a delta. */
constexpr std::size_t maximumKeptDocuments = 8;

/** A copy with what a delta is computed from: the sections' text without the parsed declarations. */
DocumentPointer withoutDeclarations(const Document& document)
{
    auto bare = std::make_shared<Document>();
    bare->version = document.version;
    bare->digest = document.digest;
    bare->sections = document.sections;
    return bare;
}

/** The versions in force that one follower reported. */
struct FollowerReport {
    std::map<HostName, DocumentVersion> versions;
    Instant receivedAt;
};

} // namespace

//==============================================================================
struct DocumentSource::Impl : std::enable_shared_from_this<DocumentSource::Impl> {
    struct Waiter {
        FollowRequest request;
        PeerReply reply;
        /** Owned by its own pending wait, so that it does not outlive the io_context. */
        std::weak_ptr<boost::asio::steady_timer> timer;
    };

    explicit Impl(boost::asio::io_context& ioContext)
        : context(ioContext)
    {
        documents.push_back(std::make_shared<Document>());
    }

    /** The answer to a follower. Precondition: the lock is held. */
    ByteString answerFor(const FollowRequest& request) const
    {
        const DocumentPointer& newest = documents.back();
        FollowReply reply;
        reply.version = newest->version;
        if (isBehind(request)) {
            if (DocumentPointer base = find(request.version, request.digest))
                reply.delta = sectionDelta(*base, *newest);
            else
                reply.text = documentText(newest->sections);
        }
        return encodeFollowReply(reply);
    }

    bool isBehind(const FollowRequest& request) const
    {
        const DocumentPointer& newest = documents.back();
        return request.version < newest->version || (request.version == newest->version && request.digest != newest->digest);
    }

    /** A kept document that is not the newest one. */
    DocumentPointer find(DocumentVersion version, Digest digest) const
    {
        for (const DocumentPointer& document : documents) {
            if (document->version == version && document->digest == digest && document != documents.back() && !version.isNone())
                return document;
        }
        return nullptr;
    }

    void hold(PeerCall& call, FollowRequest request)
    {
        std::uint64_t id = ++lastWaiter;
        auto timer = std::make_shared<boost::asio::steady_timer>(context, currentHoldTime());
        timer->async_wait([weak = weak_from_this(), id, timer](const boost::system::error_code&) {
            if (auto self = weak.lock())
                self->release(id);
        });
        waiters.emplace(id, Waiter { std::move(request), std::move(call.reply), timer });
    }

    Duration currentHoldTime() const
    {
        return std::chrono::steady_clock::now() - changedAt < changePeriod ? holdTimeAfterChange : holdTime;
    }

    void release(std::uint64_t id)
    {
        PeerReply reply;
        ByteString answer;
        {
            std::lock_guard guard(lock);
            auto found = waiters.find(id);
            if (found == waiters.end())
                return;
            answer = answerFor(found->second.request);
            reply = std::move(found->second.reply);
            waiters.erase(found);
        }
        reply(std::move(answer));
    }

    boost::asio::io_context& context;
    mutable std::mutex lock;
    /** Oldest first; the last is the newest. */
    std::deque<DocumentPointer> documents;
    Instant changedAt {};
    std::vector<std::function<void(DocumentPointer)>> listeners;
    std::uint64_t lastWaiter = 0;
    std::map<std::uint64_t, Waiter> waiters;
    std::map<std::pair<HostName, std::string>, FollowerReport> reports;
};

//==============================================================================
DocumentSource::DocumentSource(boost::asio::io_context& context)
    : m_impl(std::make_shared<Impl>(context))
{
}

DocumentSource::~DocumentSource() = default;

bool DocumentSource::offer(DocumentPointer document)
{
    std::map<std::uint64_t, Impl::Waiter> waiters;
    std::vector<std::function<void(DocumentPointer)>> listeners;
    {
        std::lock_guard guard(m_impl->lock);
        if (document->version <= m_impl->documents.back()->version)
            return false;
        m_impl->documents.back() = withoutDeclarations(*m_impl->documents.back());
        m_impl->documents.push_back(document);
        m_impl->changedAt = std::chrono::steady_clock::now();
        if (m_impl->documents.size() > maximumKeptDocuments)
            m_impl->documents.pop_front();
        waiters.swap(m_impl->waiters);
        listeners = m_impl->listeners;
    }
    logEvent(EventId::DocumentInForce, { { "version", document->version } });
    // Returns memory to the system: parsing a large document leaves many small free blocks behind.
    ::malloc_trim(0);
    for (auto& [id, waiter] : waiters) {
        if (auto timer = waiter.timer.lock())
            timer->cancel();
        std::unique_lock guard(m_impl->lock);
        ByteString answer = m_impl->answerFor(waiter.request);
        guard.unlock();
        waiter.reply(std::move(answer));
    }
    for (auto& listener : listeners)
        boost::asio::post(m_impl->context, [listener, document] { listener(document); });
    return true;
}

DocumentPointer DocumentSource::current() const
{
    std::lock_guard guard(m_impl->lock);
    return m_impl->documents.back();
}

void DocumentSource::onChange(std::function<void(DocumentPointer)> listener)
{
    std::lock_guard guard(m_impl->lock);
    m_impl->listeners.push_back(std::move(listener));
}

void DocumentSource::serve(PeerCall call)
{
    auto request = decodeFollowRequest(call.payload);
    if (!request) {
        call.reply(tl::unexpected(request.error()));
        return;
    }
    ByteString answer;
    {
        std::lock_guard guard(m_impl->lock);
        if (!request->isCheck)
            m_impl->reports[{ call.caller, call.callerRole }] = { request->inForce, std::chrono::steady_clock::now() };
        if (!request->isCheck && !m_impl->isBehind(*request)) {
            m_impl->hold(call, std::move(*request));
            return;
        }
        answer = m_impl->answerFor(*request);
    }
    call.reply(std::move(answer));
}

std::map<HostName, DocumentVersion> DocumentSource::inForce() const
{
    std::lock_guard guard(m_impl->lock);
    Instant now = std::chrono::steady_clock::now();
    std::erase_if(m_impl->reports, [&](const auto& entry) { return now - entry.second.receivedAt > inForceLifetime; });
    std::map<HostName, DocumentVersion> versions;
    for (const auto& [follower, report] : m_impl->reports) {
        for (const auto& [host, version] : report.versions) {
            auto [known, isNew] = versions.emplace(host, version);
            known->second = isNew ? version : std::min(known->second, version);
        }
    }
    return versions;
}

} // namespace hemlockchute
