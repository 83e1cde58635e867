#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/ServerIncarnation.h"
#include "hemlockchute/settings/SettingsFile.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlockchute {

/** The adapters held for each model held. */
using HeldModels = std::map<ModelName, std::set<AdapterName>>;

/** One entry of the platform's list of backend servers. */
struct ListedServer {
    BackendServerName id;
    ServiceName service;
    Endpoint address;
    DataCentreName dataCentre;
    /** Start time in milliseconds since 1970; distinguishes the incarnations of a server under one id. */
    std::int64_t startedAt = 0;
    unsigned slots = 1;
    /** True if the server is about to leave and accepts no new requests. */
    bool isLeaving = false;
    HeldModels models;
    /** Models whose weights the server also caches in memory or on disk. */
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;

    friend bool operator==(const ListedServer&, const ListedServer&) = default;
};

inline ServerIncarnation lifeOf(const ListedServer& server)
{
    return { server.id, server.startedAt };
}

/** One page of the list. */
struct ListingPage {
    std::vector<ListedServer> servers;
    /** The reason for each entry that could not be decoded. */
    std::vector<std::string> unreadable;
    /** The token of the next page; nothing on the last one. */
    std::optional<std::string> next;
};

/** The state reported by a server that runs models. */
struct EngineReport {
    std::int64_t startedAt = 0;
    HeldModels models;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
    /** Adapters that are being loaded. */
    std::map<ModelName, std::set<AdapterName>> pendingAdapters;
    /** True while an order is in progress. */
    bool isBusy = false;
    /** Orders accepted in this incarnation of the server. */
    std::uint64_t ordersAccepted = 0;
    unsigned queued = 0;
    unsigned active = 0;
};

} // namespace hemlockchute
