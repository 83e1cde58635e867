#pragma once

#include "hemlockchute/document/SectionDelta.h"
#include "hemlockchute/peer/PeerClient.h"

#include <map>
#include <vector>

namespace hemlockchute {

/** A follower's request for the document newer than a version. */
struct FollowRequest {
    DocumentVersion version;
    Digest digest;
    /** The version in force at each host that this follower speaks for, itself included. */
    std::map<HostName, DocumentVersion> inForce;
    /** Requests an immediate answer, even when there is nothing newer. */
    bool isCheck = false;
};

/** The answer to a follower: nothing newer, a delta, or a whole document. */
struct FollowReply {
    DocumentVersion version;
    std::optional<SectionDelta> delta;
    /** The whole document's text, when no delta from the follower's version can be computed. */
    std::optional<std::string> text;
};

ByteString encodeFollowRequest(const FollowRequest&);
Result<FollowRequest, PeerErrorCode> decodeFollowRequest(std::string_view bytes);
ByteString encodeFollowReply(const FollowReply&);
Result<FollowReply, PeerErrorCode> decodeFollowReply(std::string_view bytes);

//==============================================================================
/**
    Holds the newest document known to this process and serves it to followers.

    The version never decreases: offer() ignores an older document. Thread safety: every method may be
    called from any thread.

    @see DocumentFollower
*/
class DocumentSource {
public:
    explicit DocumentSource(boost::asio::io_context&);
    ~DocumentSource();

    /** Puts a newer document into force and answers every held call; returns false for a document that is not newer. */
    bool offer(DocumentPointer);
    /** The newest document; never null, version 0 is empty. */
    DocumentPointer current() const;
    /** Calls back on the io_context whenever a newer document comes into force. */
    void onChange(std::function<void(DocumentPointer)>);
    /** Answers FollowDocument: at once when the follower is behind, otherwise as a long poll of at most one second. */
    void serve(PeerCall);
    /** The version in force at each host that followers reported within the last three seconds. */
    std::map<HostName, DocumentVersion> inForce() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

//==============================================================================
/**
    Keeps a DocumentSource up to date from the first of several endpoints that answers.

    The endpoints are tried in order: the data centre's relay first, then the keepers. Each call is
    a long poll of at most one second, which serves as heartbeat and anti-entropy as well. Every
    third call goes to each endpoint in turn, in case the preferred one is itself partitioned off. Thread safety: every method may be called from any thread.

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
