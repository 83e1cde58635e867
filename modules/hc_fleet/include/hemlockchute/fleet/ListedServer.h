#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/ServerLife.h"
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
    /** When this life of the server began, in milliseconds since 1970; tells two lives under one id apart. */
    std::int64_t startedAt = 0;
    unsigned slots = 1;
    /** True when it is about to leave and takes no new requests. */
    bool isLeaving = false;
    HeldModels models;
    /** Models of which a copy is in the server's memory or on its disk, besides those held. */
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;

    friend bool operator==(const ListedServer&, const ListedServer&) = default;
};

inline ServerLife lifeOf(const ListedServer& server)
{
    return { server.id, server.startedAt };
}

/** One page of the list. */
struct ListingPage {
    std::vector<ListedServer> servers;
    /** Entries that could not be read, each with the reason. */
    std::vector<std::string> unreadable;
    /** The token of the following page; nothing on the last. */
    std::optional<std::string> next;
};

/** What a server that runs models says of itself when asked. */
struct EngineReport {
    std::int64_t startedAt = 0;
    HeldModels models;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
    /** Adapters on their way to the server. */
    std::map<ModelName, std::set<AdapterName>> pendingAdapters;
    /** True while an order is being carried out. */
    bool isBusy = false;
    /** Orders accepted in this life of the server. */
    std::uint64_t ordersAccepted = 0;
    unsigned queued = 0;
    unsigned active = 0;
};

} // namespace hemlockchute
