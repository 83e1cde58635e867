#pragma once

#include "hemlockchute/peer/PeerServer.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace hemlockchute {

//==============================================================================
/**
    Passes results from the KJ thread to an io_context, and may outlive the io_context.

    Callbacks are held here and not on the KJ thread, so that they are destroyed together with
    their io_context. Thread safety: every method may be called from any thread.

    @see KjThread
*/
class ReplyTable {
public:
    using Ticket = std::uint64_t;

    /** The table of an io_context. */
    static std::shared_ptr<ReplyTable> of(boost::asio::io_context&);

    explicit ReplyTable(boost::asio::io_context&);

    /** Stores a callback until complete(). */
    Ticket add(PeerReply);
    /** Posts a callback to the io_context; completing a ticket again has no effect. */
    void complete(Ticket, Result<ByteString, PeerErrorCode>);
    /** Posts a function to the io_context, unless that has been destroyed. */
    void post(std::function<void()>);
    /** Destroys every callback; called when the io_context is destroyed. */
    void shutdown();

private:
    std::mutex m_lock;
    boost::asio::io_context* m_context;
    Ticket m_lastTicket = 0;
    std::unordered_map<Ticket, PeerReply> m_replies;
};

} // namespace hemlockchute
