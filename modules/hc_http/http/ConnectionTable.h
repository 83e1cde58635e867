#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace hemlockchute {

/** The open connections of a server. Thread safety: any thread. */
template <typename Connection>
class ConnectionTable {
public:
    using Pointer = std::shared_ptr<Connection>;

    /** Adds a connection. If the limit is reached, `displaced` is set to the one that has been idle longest, which the caller closes. Returns false if none is idle or the server is draining. */
    bool add(const Pointer& connection, std::size_t limit, Pointer& displaced)
    {
        std::lock_guard guard(m_lock);
        if (m_isDraining)
            return false;
        if (m_connections.size() - m_closingCount >= limit) {
            displaced = takeLongestIdleLocked();
            if (!displaced)
                return false;
        }
        m_connections.emplace(connection, State());
        return true;
    }

    void remove(const Pointer& connection)
    {
        std::function<void()> done;
        {
            std::lock_guard guard(m_lock);
            setBusy(connection);
            m_connections.erase(connection);
            if (m_isDraining && m_connections.empty())
                done = std::exchange(m_done, nullptr);
        }
        if (done)
            done();
    }

    /** Records that a connection waits for a request. */
    void markIdle(const Pointer& connection)
    {
        std::lock_guard guard(m_lock);
        setBusy(connection);
        auto found = m_connections.find(connection);
        if (found == m_connections.end())
            return;
        found->second.idlePlace = m_nextPlace++;
        m_idle.emplace(found->second.idlePlace, connection);
    }

    /** Records that a request arrives on a connection. */
    void markBusy(const Pointer& connection)
    {
        std::lock_guard guard(m_lock);
        setBusy(connection);
    }

    /** Returns the connection that has been idle longest, which the caller closes; nothing if none is idle. */
    Pointer takeLongestIdle()
    {
        std::lock_guard guard(m_lock);
        return takeLongestIdleLocked();
    }

    /** Admits no more connections and returns those that are open. `done` is called when the last one has been removed. */
    std::vector<Pointer> drain(std::function<void()> done)
    {
        std::unique_lock guard(m_lock);
        m_isDraining = true;
        if (!m_connections.empty()) {
            m_done = std::move(done);
            return all();
        }
        guard.unlock();
        done();
        return {};
    }

    /** Returns the open connections; from now on every connection closes after its answer. */
    std::vector<Pointer> disableKeepAlive()
    {
        std::lock_guard guard(m_lock);
        m_isKeepAliveDisabled = true;
        return all();
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
    struct State {
        /** The place among the idle connections, or 0. */
        std::uint64_t idlePlace = 0;
        bool isClosing = false;
    };

    Pointer takeLongestIdleLocked()
    {
        if (m_idle.empty())
            return nullptr;
        Pointer connection = m_idle.begin()->second;
        m_idle.erase(m_idle.begin());
        State& state = m_connections.at(connection);
        state.idlePlace = 0;
        state.isClosing = true;
        ++m_closingCount;
        return connection;
    }

    void setBusy(const Pointer& connection)
    {
        auto found = m_connections.find(connection);
        if (found == m_connections.end())
            return;
        m_idle.erase(found->second.idlePlace);
        if (found->second.isClosing)
            --m_closingCount;
        found->second = State();
    }

    std::vector<Pointer> all() const
    {
        std::vector<Pointer> connections;
        connections.reserve(m_connections.size());
        for (const auto& [connection, state] : m_connections)
            connections.push_back(connection);
        return connections;
    }

    mutable std::mutex m_lock;
    std::map<Pointer, State> m_connections;
    /** The idle connections, by the order in which they became idle. */
    std::map<std::uint64_t, Pointer> m_idle;
    std::uint64_t m_nextPlace = 1;
    /** Connections chosen to be closed that are still open. */
    std::size_t m_closingCount = 0;
    bool m_isDraining = false;
    bool m_isKeepAliveDisabled = false;
    std::function<void()> m_done;
};

} // namespace hemlockchute
