#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace hemlockchute {

/** The connections open now, which drain() waits for. Thread safety: any thread. */
template <typename Connection>
class ConnectionTable {
public:
    bool add(std::shared_ptr<Connection> connection, std::size_t limit)
    {
        std::lock_guard guard(m_lock);
        if (m_draining || m_connections.size() >= limit)
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
            if (m_draining && m_connections.empty())
                done = std::exchange(m_done, nullptr);
        }
        if (done)
            done();
    }

    /** Returns the connections left to end; `done` is called when the last has ended. */
    std::set<std::shared_ptr<Connection>> drain(std::function<void()> done)
    {
        std::unique_lock guard(m_lock);
        m_draining = true;
        if (!m_connections.empty()) {
            m_done = std::move(done);
            return m_connections;
        }
        guard.unlock();
        done();
        return {};
    }

    /** Returns the connections open now; from now on each closes after its answer. */
    std::set<std::shared_ptr<Connection>> disableKeepAlive()
    {
        std::lock_guard guard(m_lock);
        m_isClosing = true;
        return m_connections;
    }

    /** True when connections close after their answers. */
    bool isClosing() const
    {
        std::lock_guard guard(m_lock);
        return m_isClosing || m_draining;
    }

    bool isDraining() const
    {
        std::lock_guard guard(m_lock);
        return m_draining;
    }

    std::size_t size() const
    {
        std::lock_guard guard(m_lock);
        return m_connections.size();
    }

private:
    mutable std::mutex m_lock;
    std::set<std::shared_ptr<Connection>> m_connections;
    bool m_draining = false;
    bool m_isClosing = false;
    std::function<void()> m_done;
};

} // namespace hemlockchute
