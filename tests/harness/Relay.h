#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/settings/SettingsFile.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace hemlockchute::harness {

//==============================================================================
/**
    A TCP relay that simulates a network link with a delay and faults.

    While cut, it accepts connections and forwards nothing, like a network that drops every packet.
    Connections that are open when it is cut never forward data again; new ones work once it is
    healed. Thread safety: every method may be called from any thread.
*/
class Relay {
public:
    enum class Direction {
        ToTarget,
        FromTarget
    };

    /** Listens on `from` and connects to `to` for each accepted connection. Throws if it cannot listen. */
    Relay(boost::asio::io_context&, Endpoint from, Endpoint to, Duration oneWayDelay);
    ~Relay();

    void cut();
    void heal();
    /** Makes the connections that are open now drop all further data; new ones work. */
    void silenceOpenConnections();
    /** Resets the connections that are open now; new ones work. */
    void resetOpenConnections();
    /** Holds back data in one direction until release(), like a network that loses packets in one direction. */
    void hold(Direction);
    void release(Direction);
    void setDelay(Duration oneWayDelay);
    /** Sets the target of new connections and resets the open ones. */
    void setTarget(Endpoint);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute::harness
