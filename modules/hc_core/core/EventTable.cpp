#include "hemlockchute/core/EventTable.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

using enum Severity;
using enum EventKind;

constexpr EventDefinition events[] = {
    // 1000: kernel
    { EventId::DaemonStarted, Info, "daemon.started", "The daemon has read its settings and serves." },
    { EventId::DaemonReloaded, Info, "daemon.reloaded", "The daemon read its settings again after SIGHUP." },
    { EventId::DaemonStopping, Info, "daemon.stopping", "The daemon was told to stop and finishes what runs." },
    { EventId::DaemonStopped, Info, "daemon.stopped", "The daemon has finished what ran and exits." },
    { EventId::DaemonFailed, Error, "daemon.failed", "The daemon could not start or go on; the reason is given." },
    { EventId::LogLinesLeftOut, Warning, "log.lines_left_out", "Lines were left out since the last such line, because of the bounds on the log; their number and their events are given." },
    // 1100: storage

    // 1200: agreement

    // 1300: state and document

    // 1400: peer
    { EventId::PeerStrangerDropped, Warning, "peer.stranger_dropped", "A connection that did not prove the cluster's key was dropped." },
    { EventId::PeerSilentDropped, Warning, "peer.silent_dropped", "A connection whose heartbeats were missed was dropped; the next call dials anew." },
    { EventId::PeerFault, Debug, "peer.fault", "The RPC library met a fault on a connection." },
    { EventId::DocumentInForce, Info, "document.in_force", "A newer document came into force in this process." },
    { EventId::DocumentUnreadable, Error, "document.unreadable", "A document or delta that was handed on could not be taken in; the whole document is asked for." },

    // 1500: backend servers
    { EventId::HostListChanged, Info, "host-list.changed", "The platform's list of backend servers changed." },
    { EventId::HostListUnavailable, Warning, "host-list.unavailable", "The platform's list could not be read; the last one stays in use." },

    { EventId::HostListRegained, Info, "host-list.regained", "The platform's list can be read again." },
    { EventId::HostListEntryUnreadable, Warning, "host-list.entry_unreadable", "Entries of the platform's list cannot be read and name no server to use; the first reason is given." },

    // 1600: router
    { EventId::RouterAttemptFailed, Info, "router.attempt-failed", "A backend server gave no whole answer to one attempt; the reason is given.", Failure },
    { EventId::RouterPlacementLost, Warning, "router.placement-lost", "No controller of the data centre answers; the last placement stays in use." },
    { EventId::RouterRunUnknown, Warning, "router.run-unknown", "A call that may not be repeated may have run, and its outcome is not known." },
    { EventId::RouterClaimNotVoided, Warning, "router.claim-not-voided", "A claim of which nothing was sent could not be voided yet; it is tried again." },
    { EventId::RouterDocumentInForce, Info, "router.document-in-force", "The router works by a newer document." },

    // 1700: controller
    { EventId::ControllerTermGained, Info, "controller.term_gained", "This host leads its data centre's placement." },
    { EventId::ControllerTermEnded, Warning, "controller.term_ended", "This host no longer leads its data centre's placement and gives no more orders." },
    { EventId::ControllerOrderSent, Info, "controller.order_sent", "An order was sent to an engine; the outcome says whether it was taken in." },
    { EventId::ControllerOrderUncertain, Warning, "controller.order_uncertain", "An order may have reached its engine; its memory and permit stay reserved and it is sent again." },
    { EventId::ControllerOrderUnrecorded, Warning, "controller.order_unrecorded", "An entry host of the data centre could not record the orders; it is left out for a while." },
    { EventId::ControllerTakenOver, Info, "controller.taken_over", "The orders of earlier leaders are known or over, and orders may be given." },

    // 1800: keeper
    { EventId::KeeperStarted, Info, "keeper.started", "The keeper has read its data folder; incarnation, last index and membership are given." },
    { EventId::KeeperBegan, Info, "keeper.began", "The keeper heard from every other keeper and begins with the members given." },
    { EventId::KeeperAwaitsMembership, Warning, "keeper.awaits_membership", "The data folder is new and the cluster has begun: the keeper votes only once an operator has replaced or added it." },
    { EventId::KeeperLeads, Info, "keeper.leads", "The keeper leads the agreement in the term given." },
    { EventId::KeeperFollows, Info, "keeper.follows", "The keeper does not lead any more." },
    { EventId::KeeperStorageFailed, Error, "keeper.storage_failed", "The data folder failed, with the reason given; the process stops, since nothing written after may be trusted." },
    { EventId::KeeperCompacted, Info, "keeper.compacted", "A snapshot took the place of the log up to the index given." },
    { EventId::KeeperInstalled, Info, "keeper.installed", "A snapshot of the leader's took the place of the state." },
    { EventId::KeeperEntryUnreadable, Error, "keeper.entry_unreadable", "A committed command cannot be read by this version; the process stops." },
    { EventId::KeeperFolderOutdated, Error, "keeper.folder_outdated", "The data folder is older than what this keeper acknowledged: it became a new incarnation, the process stops, and an operator must replace the keeper." },
    { EventId::KeeperSeesLeader, Info, "keeper.sees_leader", "The leader that this keeper knows, or its term, changed; no leader is given while none is known." },
    { EventId::KeeperSuspended, Error, "keeper.suspended", "The data folder refused a write, with the reason given: this keeper takes no part in the agreement, and tries the folder again until it takes writes." },
    { EventId::KeeperResumed, Info, "keeper.resumed", "The data folder takes writes again; the keeper goes on from what it holds." },

    // 1850: operators
    { EventId::OperatorSubmitted, Info, "operator.submitted", "An operator submitted a document; the answer's status is given." },
    { EventId::OperatorRefused, Warning, "operator.refused", "A request on the operators' port carried no known token." },
    { EventId::OperatorChangedMembers, Info, "operator.changed-members", "An administrator changed the keepers; the outcome is given." },

    // 1900: report

    // 2000: gateway
    { EventId::GatewayAnswered, Info, "gateway.answered", "A backend server's answer was passed on whole." },
    { EventId::GatewayRefused, Info, "gateway.refused", "A request was answered by the gateway itself; reason, time waited and time left are given.", Failure },
    { EventId::GatewayAttemptFailed, Info, "gateway.attempt_failed", "A backend server gave no answer that can be passed on; says whether the request may have run.", Failure },
    { EventId::GatewayBrokenOff, Warning, "gateway.broken_off", "An answer was begun and could not be completed; the caller sees it broken." },
    { EventId::GatewayCallerGone, Info, "gateway.caller_gone", "The caller left before its answer was complete; the work at the backend server was cancelled." },
    { EventId::GatewayConfigurationInForce, Info, "gateway.configuration_in_force", "The gateway works by a newer configuration." },
    { EventId::GatewayConfigurationUnreadable, Error, "gateway.configuration_unreadable", "An agreed configuration cannot be read here; the last one stays in force." },
    { EventId::GatewayCoordinatorLost, Warning, "gateway.coordinator_lost", "No coordinator that leads answers; configuration and placement stay as last heard." },
    { EventId::GatewayCoordinatorRegained, Info, "gateway.coordinator_regained", "A coordinator that leads answers; its address is given." },
    { EventId::GatewayServerLeaving, Info, "gateway.server_leaving", "A backend server said in an answer that it leaves; this life of it gets nothing new from here." },
    { EventId::GatewayServerPaused, Info, "gateway.server_paused", "A backend server turned a request away and asked for a pause; what it asked for and what is kept here are given." },
    { EventId::GatewayNoticeUnreadable, Warning, "gateway.notice_unreadable", "What a backend server said of itself in an answer's header cannot be read and has no effect." },

    // 2100: coordinator
    { EventId::CoordinatorStarted, Info, "coordinator.started", "The coordinator has read its data folder; identity, incarnation and version are given." },
    { EventId::CoordinatorConfigurationAgreed, Info, "coordinator.configuration_agreed", "An operator's configuration was acknowledged; the version in force is given." },
    { EventId::CoordinatorConfigurationRefused, Warning, "coordinator.configuration_refused", "An operator's configuration was not acknowledged; the reason is given." },
    { EventId::CoordinatorMembersChanged, Info, "coordinator.members_changed", "The leader takes one step in the membership of the group." },
    { EventId::CoordinatorGivesOrders, Info, "coordinator.gives_orders", "The orders of an earlier leader are over, and this host gives orders to servers." },
    { EventId::CoordinatorOrdersEnded, Info, "coordinator.orders_ended", "This host does not lead any more and gives no orders." },
    { EventId::CoordinatorOrder, Info, "coordinator.order", "An order was sent to a server; what it said, or that it said nothing, is given." },
    { EventId::CoordinatorReportUnavailable, Warning, "coordinator.report_unavailable", "A server did not say what it holds; it is given no orders until it does." },
    { EventId::CoordinatorModelTaken, Info, "coordinator.model_taken", "A server holds a model that was ordered; the time since the order is given." },
    { EventId::CoordinatorRelayUnreadable, Warning, "coordinator.relay_unreadable", "What the coordinator that leads said to this one cannot be read; the reason is given." },
    { EventId::CoordinatorConfigurationReceived, Info, "coordinator.configuration_received", "An operator's configuration arrived here; its version, the version in force and the leader known are given." },
    { EventId::CoordinatorLeaderCallFailed, Info, "coordinator.leader_call_failed", "One attempt to have an operator's call answered by the leader failed; whom it was put to, why it failed and how long it took are given.", Failure },
    { EventId::CoordinatorServerLeaving, Info, "coordinator.server_leaving", "A server said in an answer, to this host or to a gateway, that it leaves, before the platform's list did." },
};

} // namespace

std::span<const EventDefinition> eventTable()
{
    return events;
}

const EventDefinition& eventDefinition(EventId id)
{
    const auto* found = std::lower_bound(std::begin(events), std::end(events), id,
        [](const EventDefinition& row, EventId wanted) { return row.id < wanted; });
    assert(found != std::end(events) && found->id == id);
    return *found;
}

} // namespace hemlockchute
