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
    enum class Direction {
        ToTarget,
        FromTarget
    };

    /** Listens on `from` and dials `to` for each connection. Throws when it cannot listen. */
    Relay(boost::asio::io_context&, Endpoint from, Endpoint to, Duration oneWayDelay);
    ~Relay();

    void cut();
    void heal();
    /** Makes the connections that are open now silent for good; new ones work. */
    void silenceOpenConnections();
    /** Resets the connections that are open now; new ones work. */
    void resetOpenConnections();
    /** Keeps back what goes one way, and passes it on when it is released, as a network does that loses packets one way. */
    void hold(Direction);
    void release(Direction);
    void setDelay(Duration oneWayDelay);
    /** New connections go there, and those that are open are reset. */
    void setTarget(Endpoint);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute::harness
