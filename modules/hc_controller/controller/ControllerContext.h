#pragma once

#include "controller/ControllerSettings.h"
#include "controller/DemandTable.h"
#include "hemlockchute/backend/backend.h"
#include "hemlockchute/controller/LeaseKeeper.h"
#include "hemlockchute/peer/peer.h"
#include "hemlockchute/policy/PlacementPlanner.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>

namespace hemlockchute {

//==============================================================================
/**
    What the parts of a controller share.

    Thread safety: lease, demand and protocols are used on the strand only; the rest as its own
    classes say.
*/
struct ControllerContext {
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    ControllerContext(boost::asio::io_context&, ControllerSettings, std::string lifeId);

    static Instant now() { return std::chrono::steady_clock::now(); }
    /** The plug-in of that name, or null when none is linked in. */
    BackendProtocol* protocol(const std::string& name);

    ControllerSettings settings;
    /** Unlike that of any other process and of earlier lives of this one. */
    std::string lifeId;
    Strand strand;
    PeerClient peers;
    KeeperClient keepers;
    DocumentSource documents;
    HttpClient http { HttpClient::Options() };
    HostListClient hostList;
    LeaseKeeper lease;
    DemandTable demand;
    std::unique_ptr<PlacementPlanner> planner;

private:
    std::map<std::string, std::unique_ptr<BackendProtocol>> m_protocols;
};

} // namespace hemlockchute
