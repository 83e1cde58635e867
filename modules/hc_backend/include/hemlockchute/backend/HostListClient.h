#pragma once

#include "hemlockchute/backend/BackendServer.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/http/HttpClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace hemlockchute {

enum class HostListErrorCode {
    Malformed
};

/** Parses the platform's answer; an error names the field at fault. Thread safety: any thread. */
Result<std::vector<BackendServer>, HostListErrorCode> parseHostList(std::string_view json);

//==============================================================================
/**
    Polls the platform for its list of backend servers.

    The list may be out of date, and keeps its last state while the platform does not answer.
    Thread safety: every method may be called from any thread.
*/
class HostListClient {
public:
    HostListClient(boost::asio::io_context&, HttpClient&, boost::asio::ip::tcp::endpoint platform, Duration interval);
    ~HostListClient();

    void start();
    void stop();
    /** The latest list received. */
    std::vector<BackendServer> servers() const;
    /** Sets a callback that runs on the io_context after each change. Precondition: not started. */
    void onChange(std::function<void(const std::vector<BackendServer>&)>);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
