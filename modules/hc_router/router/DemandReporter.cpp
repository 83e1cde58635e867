#include "router/DemandReporter.h"

#include "hemlockchute/core/EventLog.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr Duration idleInterval = 1s;
constexpr Duration waitingInterval = 100ms;
/** Bounds the rate of reports when many requests arrive for models that are not loaded. */
constexpr Duration minimumInterval = 10ms;
constexpr Duration callTimeout = 500ms;

bool hasWaitingRequests(const DemandReport& report)
{
    return std::any_of(report.models.begin(), report.models.end(), [](const auto& entry) { return entry.second.waiting > 0; });
}

} // namespace

//==============================================================================
struct DemandReporter::Impl : std::enable_shared_from_this<DemandReporter::Impl> {
    Impl(asio::io_context& context, PeerClient& peerClient, Router& owningRouter, HostName name, std::vector<EntryHostAddress> addresses)
        : strand(asio::make_strand(context))
        , timer(strand)
        , client(peerClient)
        , router(owningRouter)
        , self(std::move(name))
        , hosts(std::move(addresses))
    {
    }

    asio::awaitable<void> run()
    {
        auto keep = shared_from_this();
        while (!stopped) {
            isReportRequested = false;
            DemandReport report = router.demand(self);
            Duration wait = co_await deliver(report);
            co_await sleep(minimumInterval);
            if (!isReportRequested)
                co_await sleepUnlessReportRequested(wait);
        }
    }

    /** Delivers the report to the leader, trying other hosts until it is found; returns the delay until the next report. */
    asio::awaitable<Duration> deliver(const DemandReport& report)
    {
        ByteString payload = encodeDemandReport(report);
        std::size_t maximumAttempts = hosts.size() + 1;
        for (std::size_t i = 0; i < maximumAttempts && !stopped; ++i) {
            auto reply = co_await client.call(hosts[current].controller, PeerMethod::ReportDemand, payload, callTimeout);
            auto view = reply ? decodePlacementView(*reply) : failure(PlacementCodecErrorCode::Malformed, "no reply");
            bool isLeader = view && view->isLeader;
            if (isLeader) {
                router.markReported(report);
                Duration wait = nextDelay(report, *view);
                router.setPlacement(std::move(*view));
                isPlacementLost = false;
                co_return wait;
            }
            selectNextHost(view ? view->leader : HostName());
        }
        logPlacementLost();
        co_return waitingInterval;
    }

    Duration nextDelay(const DemandReport& report, const PlacementView& view) const
    {
        if (!hasWaitingRequests(report))
            return idleInterval;
        Duration wait = waitingInterval;
        for (const auto& [model, readyIn] : view.readyIn) {
            auto demand = report.models.find(model);
            if (demand != report.models.end() && demand->second.waiting > 0)
                wait = std::min(wait, readyIn);
        }
        return wait;
    }

    /** Selects the named leader, or the next host in turn when it is unknown or was asked already. */
    void selectNextHost(const HostName& leader)
    {
        auto named = std::find_if(hosts.begin(), hosts.end(), [&](const EntryHostAddress& host) { return host.name == leader; });
        bool isOtherHost = named != hosts.end() && named != hosts.begin() + static_cast<std::ptrdiff_t>(current);
        current = isOtherHost ? static_cast<std::size_t>(named - hosts.begin()) : (current + 1) % hosts.size();
    }

    void logPlacementLost()
    {
        if (!isPlacementLost)
            logEvent(EventId::RouterPlacementLost);
        isPlacementLost = true;
    }

    asio::awaitable<void> sleep(Duration duration)
    {
        asio::steady_timer pause(strand, duration);
        boost::system::error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> sleepUnlessReportRequested(Duration duration)
    {
        timer.expires_after(duration);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    PeerClient& client;
    Router& router;
    HostName self;
    std::vector<EntryHostAddress> hosts;
    std::size_t current = 0;
    bool isPlacementLost = false;
    bool isReportRequested = false;
    std::atomic<bool> stopped { false };
};

DemandReporter::DemandReporter(asio::io_context& context, PeerClient& client, Router& router, HostName self, std::vector<EntryHostAddress> hosts)
    : m_impl(std::make_shared<Impl>(context, client, router, std::move(self), std::move(hosts)))
{
}

DemandReporter::~DemandReporter()
{
    m_impl->stopped = true;
}

void DemandReporter::start()
{
    if (m_impl->hosts.empty())
        return;
    asio::co_spawn(
        m_impl->strand, [impl = m_impl] { return impl->run(); }, asio::detached);
}

void DemandReporter::stop()
{
    m_impl->stopped = true;
    reportNow();
}

void DemandReporter::reportNow()
{
    asio::post(m_impl->strand, [impl = m_impl] {
        impl->isReportRequested = true;
        impl->timer.cancel();
    });
}

} // namespace hemlockchute
