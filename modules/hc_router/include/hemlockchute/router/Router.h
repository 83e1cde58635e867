#pragma once

#include "hemlockchute/http/HttpServer.h"
#include "hemlockchute/http/RequestBufferBudget.h"
#include "hemlockchute/router/DispatchTable.h"
#include "hemlockchute/router/RunRegistry.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Accepts callers' requests, queues them by rank and dispatches them to backend servers.

    Documents, placements and the platform's server list are passed in by its owner. Thread safety:
    every method may be called from any thread, after construction.

    @see DispatchTable, RequestLifecycle
*/
class Router {
public:
    struct Options {
        DispatchTable::Options dispatch;
        HttpServer::Options http;
        /** Bound in bytes on the memory for callers' requests. */
        std::size_t requestMemory = RequestBufferBudget::defaultTotal();
        /** Prefix of every id that this router generates; must be unique to this router process. */
        std::string idPrefix;
        /** The router's data centre, under which outcomes are counted. */
        DataCentreName dataCentre;
        /** Seeds the choice among backend servers. */
        std::uint64_t seed = 1;

        Options withDispatch(DispatchTable::Options) const;
        Options withHttp(HttpServer::Options) const;
        Options withRequestMemory(std::size_t) const;
        Options withIdPrefix(std::string) const;
        Options withDataCentre(DataCentreName) const;
        Options withSeed(std::uint64_t) const;
    };

    /** Precondition: the registry outlives the router. */
    Router(boost::asio::io_context&, Options, RunRegistry&);
    ~Router();

    //==============================================================================
    /** Listens for callers. */
    Result<boost::asio::ip::tcp::endpoint, HttpServerErrorCode> listenForCallers(const boost::asio::ip::tcp::endpoint&);
    /** Listens for operators: /healthz, /readyz, /metrics and /burn. */
    Result<boost::asio::ip::tcp::endpoint, HttpServerErrorCode> listenForOperators(const boost::asio::ip::tcp::endpoint&);
    /** Accepts no new requests, finishes those in progress, then calls `done` once. */
    void stop(std::function<void()> done);

    //==============================================================================
    void setDocument(DocumentPointer);
    void setPlacement(PlacementView);
    void setServers(const std::vector<BackendServer>&);
    /** Waiting requests, and arrivals not yet reported, per model. */
    DemandReport demand(const HostName& self);
    /** Notes that the report was delivered to a controller; its arrivals are not reported again. */
    void markReported(const DemandReport&);
    std::size_t queueDepth();
    /** Sets the callback for a request whose model is loaded on no server. Precondition: not listening yet. */
    void onUnloadedModelRequest(std::function<void()>);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
