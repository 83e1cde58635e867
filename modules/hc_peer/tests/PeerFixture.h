#pragma once

#include "hemlockchute/peer/PeerClient.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

namespace hemlockchute {

using Reply = Result<ByteString, PeerErrorCode>;

inline const Endpoint anyLoopbackPort(boost::asio::ip::make_address("127.0.0.1"), 0);
/** Long enough for a busy machine; a test waits this long only when it fails. */
inline constexpr Duration generousTimeout = 20s;

inline PeerIdentity identity(std::string host, std::string cluster = "test", std::string key = "0123456789abcdef")
{
    return { std::move(cluster), std::move(key), HostName(std::move(host)), "router" };
}

/** An io_context on two threads. */
class RunningContext {
public:
    RunningContext()
        : m_work(boost::asio::make_work_guard(context))
    {
        for (std::thread& thread : m_threads)
            thread = std::thread([this] { context.run(); });
    }

    ~RunningContext() { stop(); }

    /** Joins the threads, so that objects used by handlers can be destroyed. */
    void stop()
    {
        m_work.reset();
        context.stop();
        for (std::thread& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_threads[2];
};

/** Calls a method and waits for its reply. */
inline Reply callAndWait(PeerClient& client, const Endpoint& endpoint, PeerMethod method, ByteString payload, Duration timeout = generousTimeout)
{
    auto replied = std::make_shared<std::promise<Reply>>();
    auto future = replied->get_future();
    client.call(endpoint, method, std::move(payload), timeout, [replied](Reply reply) { replied->set_value(std::move(reply)); });
    return future.get();
}

inline void echo(PeerCall call)
{
    call.reply(call.payload + " from " + call.caller.text());
}

//==============================================================================
/**
    Forwards TCP connections. After blackholeOpenConnections(), data on the connections that are
    open is discarded while new connections work.
*/
class BlackholeProxy {
public:
    using tcp = boost::asio::ip::tcp;

    BlackholeProxy(boost::asio::io_context& context, Endpoint target)
        : m_context(context)
        , m_target(target)
        , m_acceptor(context, anyLoopbackPort)
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    Endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    void blackholeOpenConnections() { ++m_generation; }
    unsigned accepted() const { return m_accepted; }

private:
    using Socket = std::shared_ptr<tcp::socket>;

    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto near = std::make_shared<tcp::socket>(m_context);
            auto far = std::make_shared<tcp::socket>(m_context);
            boost::system::error_code error;
            co_await m_acceptor.async_accept(*near, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                co_return;
            ++m_accepted;
            co_await far->async_connect(m_target, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            boost::asio::co_spawn(m_context, pump(near, far, m_generation), boost::asio::detached);
            boost::asio::co_spawn(m_context, pump(far, near, m_generation), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> pump(Socket from, Socket to, unsigned generation)
    {
        std::vector<char> buffer(1U << 16U);
        while (true) {
            boost::system::error_code error;
            std::size_t size = co_await from->async_read_some(boost::asio::buffer(buffer), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                co_return;
            if (generation == m_generation)
                co_await boost::asio::async_write(*to, boost::asio::buffer(buffer.data(), size), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
    }

    boost::asio::io_context& m_context;
    Endpoint m_target;
    tcp::acceptor m_acceptor;
    std::atomic<unsigned> m_generation { 0 };
    std::atomic<unsigned> m_accepted { 0 };
};

} // namespace hemlockchute
