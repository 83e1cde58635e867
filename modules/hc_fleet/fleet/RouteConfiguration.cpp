#include "hemlockchute/fleet/RouteConfiguration.h"

#include <algorithm>

namespace hemlockchute {
namespace {

using Checked = Result<void, ConfigurationErrorCode>;

Checked checkRoute(const Route& route, const std::map<ServiceName, RoutedService>& services)
{
    auto invalid = [&](const std::string& what) { return failure(ConfigurationErrorCode::Invalid, "route " + route.name + ": " + what); };
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/')
        return invalid("the path prefix must begin and end with a slash");
    if (route.timeout <= Duration::zero())
        return invalid("the timeout must be above 0");
    unsigned weight = 0;
    for (const WeightedService& share : route.services) {
        if (!services.contains(share.service))
            return invalid("service " + share.service.text() + " is not declared");
        weight += share.weight;
    }
    if (weight == 0)
        return invalid("the weights add up to 0");
    return {};
}

} // namespace

Result<RouteConfigurationPointer, ConfigurationErrorCode> RouteConfiguration::make(Parts parts)
{
    std::shared_ptr<RouteConfiguration> configuration(new RouteConfiguration(std::move(parts)));
    const auto& routes = configuration->m_parts.routes;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const Route& route = routes[index];
        if (auto checked = checkRoute(route, configuration->m_parts.services); !checked)
            return tl::unexpected(checked.error());
        if (!configuration->m_routesByKey.emplace(routeKey(route.host, route.pathPrefix), index).second)
            return failure(ConfigurationErrorCode::Invalid, "route " + route.name + ": another route has the same host and prefix");
    }
    if (auto indexed = configuration->indexWorkspaces(); !indexed)
        return tl::unexpected(indexed.error());
    return RouteConfigurationPointer(std::move(configuration));
}

/** The error names the workspaces and not the key, which is a secret. */
Result<void, ConfigurationErrorCode> RouteConfiguration::indexWorkspaces()
{
    const std::vector<Workspace>& all = workspaces();
    for (std::size_t index = 0; index < all.size(); ++index) {
        for (const std::string& key : all[index].keys) {
            if (key.empty())
                return failure(ConfigurationErrorCode::Invalid, "workspace " + all[index].name.text() + ": an access key is empty");
            auto [found, isNew] = m_workspacesByKey.emplace(key, index);
            if (!isNew && found->second != index)
                return failure(ConfigurationErrorCode::Invalid, "workspaces " + all[found->second].name.text() + " and " + all[index].name.text() + " share an access key");
        }
    }
    return {};
}

const std::vector<Workspace>& RouteConfiguration::workspaces() const
{
    static const std::vector<Workspace> none;
    return m_parts.workspaces ? *m_parts.workspaces : none;
}

const Workspace* RouteConfiguration::findWorkspace(const std::string& key) const
{
    auto found = m_workspacesByKey.find(key);
    return found == m_workspacesByKey.end() ? nullptr : &workspaces()[found->second];
}

const Route* RouteConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos) {
        auto found = m_routesByKey.find(routeKey(host, path.substr(0, end + 1)));
        if (found != m_routesByKey.end())
            return &m_parts.routes[found->second];
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const RoutedService* RouteConfiguration::findService(const ServiceName& name) const
{
    auto found = m_parts.services.find(name);
    return found == m_parts.services.end() ? nullptr : &found->second;
}

/** The key of a host and prefix. Host names are case-insensitive and never contain a line feed, which separates the two. */
std::string RouteConfiguration::routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    key += '\n';
    key += prefix;
    return key;
}

} // namespace hemlockchute
