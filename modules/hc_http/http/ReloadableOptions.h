#pragma once

#include "hemlockchute/http/HttpServer.h"

#include <mutex>

namespace hemlockchute {

/** A server's options, which may change while connections are open. Thread safety: any thread. */
class ReloadableOptions {
public:
    explicit ReloadableOptions(HttpServer::Options options)
        : m_options(options)
    {
    }

    HttpServer::Options load() const
    {
        std::lock_guard guard(m_lock);
        return m_options;
    }

    void store(HttpServer::Options options)
    {
        std::lock_guard guard(m_lock);
        m_options = options;
    }

private:
    mutable std::mutex m_lock;
    HttpServer::Options m_options;
};

} // namespace hemlockchute
