#pragma once

#include "hemlockchute/core/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace hemlockchute {

/** A connection, and bytes read from it beyond the current message. */
struct ClientConnection {
    ClientConnection(const boost::asio::any_io_executor& executor, std::size_t maximumBufferedBytes)
        : stream(executor)
        , buffer(maximumBufferedBytes)
    {
    }

    boost::beast::tcp_stream stream;
    /** Its limit also bounds what the parser reads at once outside of heads and bodies: chunk heads and trailers. */
    boost::beast::flat_buffer buffer;
    Instant idleSince;
    /** True once it has carried a request. */
    bool isUsed = false;
    /** True if it must not return to the pool. */
    bool isSingleUse = false;
    /** How long it may stay idle, from the peer's Keep-Alive header. */
    std::optional<Duration> keepAliveLimit;
};

/** A request being sent. The answer may arrive before the write is complete. */
struct RequestWrite {
    /** Waits until the write is done, or the time is over. */
    boost::asio::awaitable<void> awaitDone(Instant limit);
    void noteDone(boost::beast::error_code);

    boost::beast::http::request<boost::beast::http::string_body> message;
    /** True for a HEAD request, whose answer has no body whatever its head says. */
    bool isForHead = false;
    bool isDone = false;
    bool hasFailed = false;
    std::optional<boost::asio::steady_timer> waitTimer;
};

/** Moves a connection to another executor, since its timers must run on the executor of its next user. Returns null on an error. */
std::unique_ptr<ClientConnection> moveToExecutor(const boost::asio::any_io_executor&, std::unique_ptr<ClientConnection>);

/** True if the peer has neither closed an idle connection nor sent unsolicited bytes on it. */
bool isReusable(ClientConnection&);

} // namespace hemlockchute
