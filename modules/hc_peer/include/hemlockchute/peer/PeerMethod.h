#pragma once

#include <cstdint>

namespace hemlockchute {

/** What one process can ask of another; the number goes on the wire and is never reused. */
enum class PeerMethod : std::uint16_t {
    /** Keeper to keeper: one message of the agreement. */
    Agreement = 1,
    /** Any to keeper: a Command for the log; answered with its Answer once it is agreed and synced. */
    Propose = 2,
    /** Any to keeper, controller or router: the document above a version, held open until there is one. */
    FollowDocument = 3,
    /** Any to keeper: the run record of a key, read at the leader. */
    ReadRun = 4,
    /** Any to keeper: who belongs to the agreement and what is in force where. */
    ReadStatus = 5,
    /** Router to controller: waiting requests by model; answered with the placement. */
    ReportDemand = 10,
    /** Controller to controller of one data centre: an order recorded before it is sent. */
    RecordOrder = 11,
    /** Controller to controller: a promise not to seek the term for a while. */
    PromiseTerm = 12,
    /** Controller to controller: the orders another has recorded, for a takeover. */
    ReadOrders = 13,
    /** Controller to controller of another data centre: shares of the fleet-wide limits. */
    ExchangeShares = 14,
    /** Router to router: virtual times and backlogs by rank. */
    ExchangeBacklog = 20,
    /** Gateway to coordinator: demand by model; answered with configuration, placement and expectations. */
    FollowFleet = 40,
    /** Coordinator to coordinator: an operator's configuration, to be agreed on. */
    SubmitConfiguration = 41,
    /** Coordinator to coordinator: the configuration in force, current as of the call. */
    ReadConfiguration = 42,
    /** Coordinator to coordinator: a request to be taken into the group. */
    JoinGroup = 43,
    /** Keeper administration: change of members. */
    ChangeMembers = 30
};

} // namespace hemlockchute
