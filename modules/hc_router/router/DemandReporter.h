#pragma once

#include "hemlockchute/peer/PeerClient.h"
#include "hemlockchute/router/Router.h"
#include "hemlockchute/settings/HostSettings.h"

#include <memory>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Reports the router's demand to the data centre's controllers and passes the placement that they return to the router.

    Each report goes to the last known leader first, then to the host that a reply names or to the next one in turn. The last
    placement stays in use while no controller answers. Thread safety: every method may be called from any thread.

    @see PlacementView
*/
class DemandReporter {
public:
    /** Precondition: client and router outlive this. */
    DemandReporter(boost::asio::io_context&, PeerClient&, Router&, HostName self, std::vector<EntryHostAddress>);
    ~DemandReporter();

    void start();
    void stop();
    /** Reports without waiting for the interval, as when a request's model is loaded nowhere. */
    void reportNow();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
