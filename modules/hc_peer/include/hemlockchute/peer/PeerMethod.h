#pragma once

#include <cstdint>

namespace hemlockchute {

/** Methods that processes call on each other. The number goes on the wire and is never reused. */
enum class PeerMethod : std::uint16_t {
    /** Keeper to keeper: one Raft message. */
    Agreement = 1,
    /** Any to keeper: a Command for the replicated log; answered with its Answer once it is committed and synced to disk. */
    Propose = 2,
    /** Any to keeper, controller or router: the document newer than a version; a long poll. */
    FollowDocument = 3,
    /** Any to keeper: the run record of a key, read at the leader. */
    ReadRun = 4,
    /** Any to keeper: the members of the Raft group and the document version in force at each host. */
    ReadStatus = 5,
    /** Router to controller: waiting requests by model; answered with the placement. */
    ReportDemand = 10,
    /** Controller to controller of one data centre: an order to record before it is sent. */
    RecordOrder = 11,
    /** Controller to controller: a promise not to compete for the controller term for a limited time. */
    PromiseTerm = 12,
    /** Controller to controller: the orders that the other has recorded, for a takeover. */
    ReadOrders = 13,
    /** Controller to controller of another data centre: shares of the fleet-wide rate limits. */
    ExchangeShares = 14,
    /** Router to router: virtual times and backlogs by rank. */
    ExchangeBacklog = 20,
    /** Gateway to coordinator: demand by model; answered with configuration, placement and expected ready times. */
    FollowFleet = 40,
    /** Coordinator to coordinator: an operator's configuration to commit. */
    SubmitConfiguration = 41,
    /** Coordinator to coordinator: the configuration in force, current as of the call. */
    ReadConfiguration = 42,
    /** Coordinator to coordinator: a request to join the Raft group. */
    JoinGroup = 43,
    /** Coordinator to coordinator: a voter that stops asks to be replaced by a learner that has caught up; answered with the membership agreed on. */
    LeaveGroup = 44,
    /** Keeper administration: a membership change. */
    ChangeMembers = 30
};

} // namespace hemlockchute
