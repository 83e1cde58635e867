#include "hemlockchute/backend/HostListClient.h"
#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/core/RoleService.h"
#include "hemlockchute/peer/peer.h"
#include "hemlockchute/router/Router.h"
#include "router/DemandReporter.h"
#include "router/KeeperRunRegistry.h"
#include "router/RouterSettings.h"

#include <boost/asio/post.hpp>
#include <random>

namespace hemlockchute {
namespace {

std::uint64_t randomBits()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    return (std::uint64_t(device()) << halfBits) | device();
}

/** Random, and so unique among all routers and all incarnations of this one. */
std::string makeIdPrefix(const HostName& host)
{
    return host.text() + "-" + Digest(randomBits(), randomBits()).text();
}

//==============================================================================
/** A started router with its clients and servers. */
struct RunningRouter {
    RunningRouter(boost::asio::io_context& context, const RouterSettings& settings)
        : identity { settings.host.clusterName, settings.host.clusterKey, settings.host.name, "router" }
        , peers(context, identity, PeerClient::Options())
        , peerServer(context, identity)
        , runs(peers, settings.host.keepers)
        , router(context, routerOptions(settings), runs)
        , documents(context)
        , follower(context, peers, documents, settings.host.name, documentSources(settings.host))
        , hostList(context, http, settings.platform, settings.platformInterval)
        , reporter(context, peers, router, settings.host.name, settings.host.hostsOfDataCentre())
    {
        documents.onChange([this](DocumentPointer document) { router.setDocument(std::move(document)); });
        hostList.onChange([this](const std::vector<BackendServer>& servers) { router.setServers(servers); });
        router.onUnloadedModelRequest([this] { reporter.reportNow(); });
    }

    static Router::Options routerOptions(const RouterSettings& settings)
    {
        auto dispatch = DispatchTable::Options()
                            .withQueueStrategy(settings.queueStrategy)
                            .withPickerStrategy(settings.pickerStrategy)
                            .withMaximumWaiting(settings.maximumWaiting)
                            .withDataCentre(settings.host.dataCentre)
                            .withSlotReserve(SlotReserve::Options().withReservedPercent(settings.reservedSlotsPercent));
        return Router::Options().withDispatch(dispatch).withIdPrefix(makeIdPrefix(settings.host.name)).withDataCentre(settings.host.dataCentre).withSeed(randomBits()).withRequestMemory(settings.requestMemory);
    }

    /** The controllers of the data centre first, then the keepers. */
    static std::vector<Endpoint> documentSources(const HostSettings& settings)
    {
        std::vector<Endpoint> sources;
        sources.reserve(settings.entryHosts.size() + settings.keepers.size());
        for (const EntryHostAddress& host : settings.hostsOfDataCentre())
            sources.push_back(host.controller);
        for (const KeeperAddress& keeper : settings.keepers)
            sources.push_back(keeper.peer);
        return sources;
    }

    Result<void, RoleErrorCode> start(const RouterSettings& settings)
    {
        if (auto listening = peerServer.listen(settings.peers); !listening)
            return failureBecause(RoleErrorCode::ListenFailed, listening.error());
        if (auto listening = router.listenForOperators(settings.operators); !listening)
            return failureBecause(RoleErrorCode::ListenFailed, listening.error());
        if (auto listening = router.listenForCallers(settings.callers); !listening)
            return failureBecause(RoleErrorCode::ListenFailed, listening.error());
        follower.start();
        hostList.start();
        reporter.start();
        return {};
    }

    void stop(std::function<void()> done)
    {
        router.stop([this, done = std::move(done)] {
            reporter.stop();
            hostList.stop();
            follower.stop();
            peerServer.close();
            done();
        });
    }

    PeerIdentity identity;
    PeerClient peers;
    PeerServer peerServer;
    KeeperRunRegistry runs;
    HttpClient http { HttpClient::Options() };
    Router router;
    DocumentSource documents;
    DocumentFollower follower;
    HostListClient hostList;
    DemandReporter reporter;
};

//==============================================================================
/** The role "router". */
class RouterService : public RoleService {
public:
    std::vector<std::string> configure(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        m_settings = RouterSettings::read(settingsFile, faults);
        return faults;
    }

    LogOptions logOptions() const override { return m_settings.host.log; }
    unsigned threadCount() const override { return m_settings.threads; }

    Result<void, RoleErrorCode> start(boost::asio::io_context& context) override
    {
        m_running = std::make_unique<RunningRouter>(context, m_settings);
        return m_running->start(m_settings);
    }

    /** Applies log options only; other settings require a restart. */
    std::vector<std::string> reload(const std::filesystem::path& settingsFile) override
    {
        std::vector<std::string> faults;
        RouterSettings settings = RouterSettings::read(settingsFile, faults);
        if (faults.empty())
            configureLog(settings.host.log);
        return faults;
    }

    void stop(std::function<void()> done) override { m_running->stop(std::move(done)); }

private:
    RouterSettings m_settings;
    std::unique_ptr<RunningRouter> m_running;
};

const ScopedPluginRegistration<RoleService, RouterService> registration("router");

} // namespace
} // namespace hemlockchute
