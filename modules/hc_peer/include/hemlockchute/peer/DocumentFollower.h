#pragma once

#include "hemlockchute/document/SectionDelta.h"
#include "hemlockchute/peer/PeerClient.h"

#include <map>
#include <vector>

namespace hemlockchute {

/** What a follower asks: the document above a version. */
struct FollowRequest {
    DocumentVersion version;
    Digest digest;
    /** The version in force at each host that this follower speaks for, itself included. */
    std::map<HostName, DocumentVersion> inForce;
    /** True when the answer is wanted at once, also when there is nothing new. */
    bool isCheck = false;
};

/** What a follower is told: nothing new, a delta, or a whole document. */
struct FollowReply {
    DocumentVersion version;
    std::optional<SectionDelta> delta;
    /** The whole document's text, when no delta from the follower's version is at hand. */
    std::optional<std::string> text;
};

ByteString encodeFollowRequest(const FollowRequest&);
Result<FollowRequest, PeerErrorCode> decodeFollowRequest(std::string_view bytes);
ByteString encodeFollowReply(const FollowReply&);
Result<FollowReply, PeerErrorCode> decodeFollowReply(std::string_view bytes);

//==============================================================================
/**
    Holds the newest document known here and hands it on to followers in turn.

    Versions only rise: offer() ignores an older document. Thread safety: every method may be
    called from any thread.

    @see DocumentFollower
*/
class DocumentSource {
public:
    explicit DocumentSource(boost::asio::io_context&);
    ~DocumentSource();

    /** Takes a newer document in force and wakes everyone who waits for one; returns false for an older one. */
    bool offer(DocumentPointer);
    /** The newest document; never null, version 0 is empty. */
    DocumentPointer current() const;
    /** Calls back on the io_context whenever a newer document comes into force. */
    void onChange(std::function<void(DocumentPointer)>);
    /** Answers FollowDocument: at once when the caller is behind, otherwise within a second. */
    void serve(PeerCall);
    /** The version in force at each host heard of through followers within the last three seconds. */
    std::map<HostName, DocumentVersion> inForce() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

//==============================================================================
/**
    Keeps a DocumentSource up to date from the first of several endpoints that answers.

    The endpoints are tried in order: the data centre's relay first, then the keepers. Each call
    is held open by the other side until there is something new, at most a second, so that it is
    heartbeat and anti-entropy at once. Now and then another endpoint is asked too, in case the
    usual one is itself cut off. Thread safety: every method may be called from any thread.

    @see DocumentSource
*/
class DocumentFollower {
public:
    DocumentFollower(boost::asio::io_context&, PeerClient&, DocumentSource&, HostName self, std::vector<Endpoint> sources);
    ~DocumentFollower();

    void start();
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
