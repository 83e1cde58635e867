#include "hemlockchute/backend/HostListClient.h"

#include "backend/JsonText.h"
#include "hemlockchute/backend/JsonFields.h"
#include "hemlockchute/settings/SettingsFile.h"

namespace hemlockchute {
namespace {

BackendServer readServer(JsonFields& fields)
{
    BackendServer server;
    server.name = BackendServerName(fields.text("name"));
    server.dataCentre = DataCentreName(fields.text("data_centre"));
    server.kind = fields.choice("kind", { "engine", "service" }) == 0 ? BackendServer::Kind::Engine : BackendServer::Kind::Service;
    server.service = ServiceName(server.kind == BackendServer::Kind::Service ? fields.text("service") : fields.text("service", ""));
    auto endpoint = parseEndpoint(fields.text("address"));
    if (!endpoint)
        fields.addFault("address", "must be an IP number and a port");
    server.endpoint = endpoint.value_or(Endpoint());
    server.protocol = fields.text("protocol", server.protocol);
    server.isLeaving = fields.choice("state", { "live", "leaving" }) == 1;
    return server;
}

} // namespace

Result<std::vector<BackendServer>, HostListErrorCode> parseHostList(std::string_view json)
{
    auto value = parseJson(json);
    if (!value)
        return failure(HostListErrorCode::Malformed, "the list is not JSON");
    std::string fault;
    JsonFields root(*value, "", fault);
    if (!root.has("hosts"))
        root.addFault("hosts", "is missing");
    std::vector<BackendServer> servers;
    for (JsonFields& fields : root.objects("hosts"))
        servers.push_back(readServer(fields));
    if (!fault.empty())
        return failure(HostListErrorCode::Malformed, fault);
    return servers;
}

} // namespace hemlockchute
