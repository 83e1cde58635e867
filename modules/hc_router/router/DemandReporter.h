#pragma once

#include "hemlockchute/peer/PeerClient.h"
#include "hemlockchute/router/Router.h"
#include "hemlockchute/settings/HostSettings.h"

#include <memory>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Tells the data centre's controllers what waits here, and hands the router their placement.

    The leader is asked first, then whoever it or another names; the last placement stays in use
    while nobody answers. Thread safety: every method may be called from any thread.

    @see PlacementView
*/
class DemandReporter {
public:
    /** Precondition: client and router outlive this. */
    DemandReporter(boost::asio::io_context&, PeerClient&, Router&, HostName self, std::vector<EntryHostAddress>);
    ~DemandReporter();

    void start();
    void stop();
    /** Reports at once, as when a model is wanted that is loaded nowhere. */
    void reportNow();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
