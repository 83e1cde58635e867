#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace hemlockchute {

/** The open connections of a server. Thread safety: any thread. */
template <typename Connection>
class ConnectionTable {
public:
    /** Returns false if the limit is reached or the server is draining. */
    bool add(std::shared_ptr<Connection> connection, std::size_t limit)
    {
        std::lock_guard guard(m_lock);
        if (m_isDraining || m_connections.size() >= limit)
            return false;
        m_connections.insert(std::move(connection));
        return true;
    }

    void remove(const std::shared_ptr<Connection>& connection)
    {
        std::function<void()> done;
        {
            std::lock_guard guard(m_lock);
            m_connections.erase(connection);
            if (m_isDraining && m_connections.empty())
                done = std::exchange(m_done, nullptr);
        }
        if (done)
            done();
    }

    /** Admits no more connections and returns those that are open. `done` is called when the last one has been removed. */
    std::set<std::shared_ptr<Connection>> drain(std::function<void()> done)
    {
        std::unique_lock guard(m_lock);
        m_isDraining = true;
        if (!m_connections.empty()) {
            m_done = std::move(done);
            return m_connections;
        }
        guard.unlock();
        done();
        return {};
    }

    /** Returns the open connections; from now on every connection closes after its answer. */
    std::set<std::shared_ptr<Connection>> disableKeepAlive()
    {
        std::lock_guard guard(m_lock);
        m_isKeepAliveDisabled = true;
        return m_connections;
    }

    /** True if connections close after their answers. */
    bool isKeepAliveDisabled() const
    {
        std::lock_guard guard(m_lock);
        return m_isKeepAliveDisabled || m_isDraining;
    }

    bool isDraining() const
    {
        std::lock_guard guard(m_lock);
        return m_isDraining;
    }

    std::size_t size() const
    {
        std::lock_guard guard(m_lock);
        return m_connections.size();
    }

private:
    mutable std::mutex m_lock;
    std::set<std::shared_ptr<Connection>> m_connections;
    bool m_isDraining = false;
    bool m_isKeepAliveDisabled = false;
    std::function<void()> m_done;
};

} // namespace hemlockchute
