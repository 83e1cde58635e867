#pragma once

#include "hemlockchute/http/HttpServer.h"
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
    Takes callers' requests, queues them by rank and has backend servers answer them.

    What it knows of the rest of the system is handed to it: documents, placements and the
    platform's list. Thread safety: every method may be called from any thread, after construction.

    @see DispatchTable, RequestLifecycle
*/
class Router {
public:
    /** What varies from one router to another. */
    struct Options {
        DispatchTable::Options dispatch;
        HttpServer::Options http;
        /** Stands before every id that this router makes up; unlike that of any other router. */
        std::string idPrefix;
        /** Where this router stands; outcomes are counted under it. */
        DataCentreName dataCentre;
        /** Seeds the choice among backend servers. */
        std::uint64_t seed = 1;

        Options withDispatch(DispatchTable::Options) const;
        Options withHttp(HttpServer::Options) const;
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
    /** Takes no new requests, finishes those in progress, then calls `done` once. */
    void stop(std::function<void()> done);

    //==============================================================================
    void setDocument(DocumentPointer);
    void setPlacement(PlacementView);
    void setServers(const std::vector<BackendServer>&);
    /** What waits here. */
    DemandReport demand(const HostName& self);
    /** The report has reached a controller. */
    void markReported(const DemandReport&);
    /** Requests in the queue. */
    std::size_t queueDepth();
    /** Calls back when a request comes in whose model is loaded nowhere. Precondition: not listening yet. */
    void onUnloadedModelRequest(std::function<void()>);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockchute
