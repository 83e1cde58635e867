#pragma once

#include "hemlockchute/core/Clock.h"

#include <algorithm>
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

    /** Adds a connection. If the limit is reached, `displaced` is set to the one that has been idle longest, or whose request has not gone on since `stalledBefore`, which the caller closes. Returns false if there is none or the server is draining. */
    bool add(const Pointer& connection, std::size_t limit, Instant stalledBefore, Pointer& displaced)
    {
        std::lock_guard guard(m_lock);
        if (m_isDraining)
            return false;
        if (m_connections.size() - m_closingCount >= limit) {
            displaced = takeLongestIdleLocked();
            std::vector<Pointer> stalled;
            if (!displaced)
                stalled = takeStalledLocked(stalledBefore, 1);
            if (!stalled.empty())
                displaced = stalled.front();
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

    /** Returns up to `most` connections whose requests have not gone on since then, those that have waited longest first; the caller closes them. */
    std::vector<Pointer> takeStalled(Instant before, std::size_t most)
    {
        std::lock_guard guard(m_lock);
        return takeStalledLocked(before, most);
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
        m_connections.at(connection).idlePlace = 0;
        setClosing(connection);
        return connection;
    }

    /** Looks through all connections; called only while there is no room for another one. */
    std::vector<Pointer> takeStalledLocked(Instant before, std::size_t most)
    {
        std::vector<std::pair<Instant, Pointer>> stalled;
        for (const auto& [connection, state] : m_connections) {
            Instant since = connection->waitsForBytesSince();
            if (!state.isClosing && since < before)
                stalled.emplace_back(since, connection);
        }
        std::size_t count = std::min(most, stalled.size());
        std::partial_sort(stalled.begin(), stalled.begin() + static_cast<std::ptrdiff_t>(count), stalled.end());
        std::vector<Pointer> taken;
        for (std::size_t i = 0; i < count; ++i) {
            setClosing(stalled[i].second);
            taken.push_back(std::move(stalled[i].second));
        }
        return taken;
    }

    void setClosing(const Pointer& connection)
    {
        m_connections.at(connection).isClosing = true;
        ++m_closingCount;
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
