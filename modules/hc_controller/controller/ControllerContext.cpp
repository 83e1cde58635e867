#include "controller/ControllerContext.h"

namespace hemlockchute {
namespace {

PeerIdentity identityOf(const ControllerSettings& settings)
{
    return { settings.host.clusterName, settings.host.clusterKey, settings.host.name, "controller" };
}

std::vector<HostName> hostNames(const ControllerSettings& settings)
{
    std::vector<HostName> names;
    for (const EntryHostAddress& host : settings.host.hostsOfDataCentre())
        names.push_back(host.name);
    return names;
}

} // namespace

ControllerContext::ControllerContext(boost::asio::io_context& context, ControllerSettings controllerSettings, std::string life)
    : settings(std::move(controllerSettings))
    , lifeId(std::move(life))
    , strand(boost::asio::make_strand(context))
    , peers(context, identityOf(settings), PeerClient::Options())
    , keepers(peers, settings.host.keepers)
    , documents(context)
    , hostList(context, http, settings.platform, settings.platformInterval)
    , lease(settings.host.dataCentre, settings.host.name, hostNames(settings), lifeId, now(), LeaseKeeper::Options())
    , planner(makePlacementPlanner(settings.strategy))
{
}

BackendProtocol* ControllerContext::protocol(const std::string& name)
{
    auto found = m_protocols.find(name);
    if (found == m_protocols.end())
        found = m_protocols.emplace(name, PluginRegistry<BackendProtocol>::instance().create(name)).first;
    return found->second.get();
}

} // namespace hemlockchute
