#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/settings/SettingsFile.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace hemlockchute::harness {

//==============================================================================
/**
    A stretch of network between two data centres: passes on TCP connections, with a delay, until cut.

    While cut it accepts connections and passes on nothing, as a network does that drops packets.
    Connections that were open when it was cut stay silent for good; new ones work once it is
    healed. Thread safety: every method may be called from any thread.
*/
class Relay {
public:
    /** Listens on `from` and dials `to` for each connection. Throws when it cannot listen. */
    Relay(boost::asio::io_context&, Endpoint from, Endpoint to, Duration oneWayDelay);
    ~Relay();

    void cut();
    void heal();
    /** Makes the connections that are open now silent for good; new ones work. */
    void silenceOpenConnections();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute::harness
