#pragma once

#include "hemlockchute/peer/PeerServer.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace hemlockchute {

//==============================================================================
/**
    Carries results from the KJ thread to an io_context, and outlives it safely.

    Callbacks wait here and not on the KJ thread, so that those of an io_context that is destroyed
    go with it. Thread safety: every method may be called from any thread.

    @see KjThread
*/
class ReplyTable {
public:
    using Ticket = std::uint64_t;

    /** The table of an io_context. */
    static std::shared_ptr<ReplyTable> of(boost::asio::io_context&);

    explicit ReplyTable(boost::asio::io_context&);

    /** Keeps a callback until complete(). */
    Ticket add(PeerReply);
    /** Has a callback run on the io_context; the second completion of a ticket does nothing. */
    void complete(Ticket, Result<ByteString, PeerErrorCode>);
    /** Has a function run on the io_context, if that still exists. */
    void post(std::function<void()>);
    /** Called when the io_context is destroyed: drops every callback. */
    void shutdown();

private:
    std::mutex m_lock;
    boost::asio::io_context* m_context;
    Ticket m_lastTicket = 0;
    std::unordered_map<Ticket, PeerReply> m_replies;
};

} // namespace hemlockchute
