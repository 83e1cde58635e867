#pragma once

#include "hemlockchute/backend/BackendServer.h"

#include "hemlockchute/core/Errors.h"

#include <map>
#include <string_view>

namespace hemlockchute {

/** Queued requests for one model at one router. */
struct ModelDemand {
    unsigned waiting = 0;
    /** Order of the most urgent rank among the queued requests. */
    unsigned bestRankOrder = 0;
    /** Wait time of the oldest queued request. */
    Duration oldestWait {};
    /** Requests that arrived since the last report. */
    unsigned arrivals = 0;
    /** Queued requests by adapter. */
    std::map<AdapterName, unsigned> adapters;

    friend bool operator==(const ModelDemand&, const ModelDemand&) = default;
};

/** A router's report to its data centre's controllers (PeerMethod::ReportDemand). */
struct DemandReport {
    HostName router;
    std::map<ModelName, ModelDemand> models;

    friend bool operator==(const DemandReport&, const DemandReport&) = default;
};

/** An engine as the leading controller knows it. */
struct PlacedEngine {
    BackendServerName name;
    boost::asio::ip::tcp::endpoint endpoint;
    std::string protocol;
    bool takesNewWork = true;
    unsigned running = 0;
    unsigned queued = 0;
    unsigned slots = 1;
    /** Age of the load figures. */
    Duration lag {};
    /** Models loaded, each with its adapters. */
    std::map<ModelName, std::vector<AdapterName>> models;

    friend bool operator==(const PlacedEngine&, const PlacedEngine&) = default;
};

/** The controller's answer to a DemandReport. */
struct PlacementView {
    /** False from a controller that is not the leader; `leader` then names the leader, if known. */
    bool isLeader = false;
    HostName leader;
    std::vector<PlacedEngine> engines;
    /** Expected time until a loading model is ready. */
    std::map<ModelName, Duration> readyIn;

    friend bool operator==(const PlacementView&, const PlacementView&) = default;
};

enum class PlacementCodecErrorCode {
    Malformed
};

/** Cap'n Proto codecs of reports and views. Thread safety: any thread. */
ByteString encodeDemandReport(const DemandReport&);
Result<DemandReport, PlacementCodecErrorCode> decodeDemandReport(std::string_view bytes);
ByteString encodePlacementView(const PlacementView&);
Result<PlacementView, PlacementCodecErrorCode> decodePlacementView(std::string_view bytes);

} // namespace hemlockchute
