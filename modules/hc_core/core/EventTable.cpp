#include "hemlockchute/core/EventTable.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

using enum Severity;
using enum EventKind;

constexpr EventDefinition events[] = {
    // 1000: kernel
    { EventId::DaemonStarted, Info, "daemon.started", "The daemon has read its settings and is serving." },
    { EventId::DaemonReloaded, Info, "daemon.reloaded", "The daemon read its settings again after SIGHUP." },
    { EventId::DaemonStopping, Info, "daemon.stopping", "The daemon was told to stop and is finishing the work in progress." },
    { EventId::DaemonStopped, Info, "daemon.stopped", "The daemon has finished its work and exits." },
    { EventId::DaemonFailed, Error, "daemon.failed", "The daemon could not start or continue; the reason is given." },
    { EventId::LogLinesLeftOut, Warning, "log.lines_left_out", "Log lines beyond the limits on the log were dropped since the last such record; their number and their events are given." },
    { EventId::DaemonHandlerFailed, Error, "daemon.handler_failed", "An exception has left a handler; its reason is given. The daemon goes on." },
    { EventId::DaemonRequestTooLarge, Info, "daemon.request_too_large", "A request's header or body exceeded its limit, and the connection was closed; the cause says which.", Failure },
    { EventId::DaemonRequestTooSlow, Info, "daemon.request_too_slow", "A request arrived too slowly while others waited for the memory that it held; it was refused and has not run.", Failure },
    { EventId::DaemonRequestMemoryFull, Info, "daemon.request_memory_full", "There was no memory for a request within the read time-out; it was refused and has not run.", Failure },
    { EventId::DaemonIdleConnectionClosed, Info, "daemon.idle_connection_closed", "The connection that had been idle longest was closed, since the limit of connections or descriptors was reached.", Failure },
    // 1100: storage

    // 1200: agreement

    // 1300: state and document

    // 1400: peer
    { EventId::PeerStrangerDropped, Warning, "peer.stranger_dropped", "A connection that did not prove the cluster's key was dropped." },
    { EventId::PeerSilentDropped, Warning, "peer.silent_dropped", "A connection that missed its heartbeats was dropped; the next call opens a new one." },
    { EventId::PeerFault, Debug, "peer.fault", "The RPC library reported an error on a connection." },
    { EventId::DocumentInForce, Info, "document.in_force", "A newer document came into force in this process." },
    { EventId::DocumentUnreadable, Error, "document.unreadable", "A received document or delta could not be decoded or applied; the whole document is requested." },

    // 1500: backend servers
    { EventId::HostListChanged, Info, "host-list.changed", "The platform's list of backend servers changed." },
    { EventId::HostListUnavailable, Warning, "host-list.unavailable", "The platform's list could not be read; the last list that was read stays in use." },

    { EventId::HostListRegained, Info, "host-list.regained", "The platform's list can be read again." },
    { EventId::HostListEntryUnreadable, Warning, "host-list.entry_unreadable", "Entries of the platform's list cannot be read and are skipped; the first reason is given." },

    // 1600: router
    { EventId::RouterAttemptFailed, Info, "router.attempt-failed", "A backend server gave no complete answer to one attempt; the reason is given.", Failure },
    { EventId::RouterPlacementLost, Warning, "router.placement-lost", "No controller of the data centre answers; the last placement stays in use." },
    { EventId::RouterRunUnknown, Warning, "router.run-unknown", "A call that must not be repeated may have run, and its outcome is unknown." },
    { EventId::RouterClaimNotVoided, Warning, "router.claim-not-voided", "A claim whose call was never sent could not be voided yet; voiding is retried." },
    { EventId::RouterDocumentInForce, Info, "router.document-in-force", "A newer document came into force in the router." },
    { EventId::RouterServerSilent, Info, "router.server-silent", "An engine has been silent for a while; its attempt continues until another server is assigned." },
    { EventId::RouterTakeover, Info, "router.takeover", "Another server, or a new connection to the same one, was assigned to a request whose engine is silent." },

    // 1700: controller
    { EventId::ControllerTermGained, Info, "controller.term_gained", "This host leads its data centre's placement." },
    { EventId::ControllerTermEnded, Warning, "controller.term_ended", "This host no longer leads its data centre's placement and gives no more orders." },
    { EventId::ControllerOrderSent, Info, "controller.order_sent", "An order was sent to an engine; the outcome says whether it was accepted." },
    { EventId::ControllerOrderUncertain, Warning, "controller.order_uncertain", "An order may have reached its engine; its memory and permit stay reserved and it is retried." },
    { EventId::ControllerOrderUnrecorded, Warning, "controller.order_unrecorded", "An entry host of the data centre could not record the orders; it is excluded for a while." },
    { EventId::ControllerTakenOver, Info, "controller.taken_over", "The orders of earlier leaders are known or have expired, and this host may give orders." },

    // 1800: keeper
    { EventId::KeeperStarted, Info, "keeper.started", "The keeper has read its data folder; incarnation, last index and membership are given." },
    { EventId::KeeperBegan, Info, "keeper.began", "The keeper has contacted every other keeper and the cluster is bootstrapped with the members given." },
    { EventId::KeeperAwaitsMembership, Warning, "keeper.awaits_membership", "The data folder is new and the cluster is already bootstrapped: the keeper votes only once an operator has replaced or added it." },
    { EventId::KeeperLeads, Info, "keeper.leads", "The keeper is the Raft leader in the term given." },
    { EventId::KeeperFollows, Info, "keeper.follows", "The keeper is no longer the leader." },
    { EventId::KeeperStorageFailed, Error, "keeper.storage_failed", "The data folder failed, with the reason given; the process stops, since later writes could not be trusted." },
    { EventId::KeeperCompacted, Info, "keeper.compacted", "The log up to the index given was replaced by a snapshot." },
    { EventId::KeeperInstalled, Info, "keeper.installed", "The state was replaced by a snapshot from the leader." },
    { EventId::KeeperEntryUnreadable, Error, "keeper.entry_unreadable", "A committed command cannot be read by this version; the process stops." },
    { EventId::KeeperFolderOutdated, Error, "keeper.folder_outdated", "The data folder is older than what this keeper acknowledged: the keeper became a new incarnation, the process stops, and an operator must replace the keeper." },
    { EventId::KeeperSeesLeader, Info, "keeper.sees_leader", "The leader known to this keeper, or its term, changed; no leader is given while none is known." },
    { EventId::KeeperSuspended, Error, "keeper.suspended", "The data folder refused a write, with the reason given: this keeper takes no part in Raft, and retries the folder until writes succeed." },
    { EventId::KeeperResumed, Info, "keeper.resumed", "Writes to the data folder succeed again; the keeper continues from its stored state." },

    // 1850: operators
    { EventId::OperatorSubmitted, Info, "operator.submitted", "An operator submitted a document; the answer's status is given." },
    { EventId::OperatorRefused, Warning, "operator.refused", "A request on the operators' port carried no valid token." },
    { EventId::OperatorChangedMembers, Info, "operator.changed-members", "An administrator requested a change of the keepers; the outcome is given." },

    // 1900: report

    // 2000: gateway
    { EventId::GatewayAnswered, Info, "gateway.answered", "A backend server's answer was forwarded completely." },
    { EventId::GatewayRefused, Info, "gateway.refused", "A request was answered by the gateway itself; reason, time waited and time left are given.", Failure },
    { EventId::GatewayAttemptFailed, Info, "gateway.attempt_failed", "A backend server gave no answer that can be forwarded; the record says whether the request may have run, how long the server had been silent and after which event, and names the server's incarnation, a key that is the same each time the request comes, and the prompt's shared parts.", Failure },
    { EventId::GatewayBrokenOff, Warning, "gateway.broken_off", "An answer was partly forwarded and could not be completed; the caller receives it truncated. The record says why the attempt ended and why no other followed." },
    { EventId::GatewayCallerGone, Info, "gateway.caller_gone", "The caller disconnected before its answer was complete; the request at the backend server was cancelled." },
    { EventId::GatewayConfigurationInForce, Info, "gateway.configuration_in_force", "A newer configuration came into force in the gateway." },
    { EventId::GatewayConfigurationUnreadable, Error, "gateway.configuration_unreadable", "A committed configuration cannot be decoded by this process; the last one stays in force." },
    { EventId::GatewayCoordinatorLost, Warning, "gateway.coordinator_lost", "No leading coordinator answers; the last configuration and placement stay in use." },
    { EventId::GatewayCoordinatorRegained, Info, "gateway.coordinator_regained", "A leading coordinator answers again; its address is given." },
    { EventId::GatewayServerLeaving, Info, "gateway.server_leaving", "A backend server announced in an answer that it is leaving; this gateway sends no new requests to this incarnation." },
    { EventId::GatewayServerPaused, Info, "gateway.server_paused", "A backend server refused a request and asked for a pause; the requested and the applied pause are given." },
    { EventId::GatewayNoticeUnreadable, Warning, "gateway.notice_unreadable", "A notice in a header of a backend server's answer cannot be parsed and has no effect." },
    { EventId::GatewayServerSilent, Info, "gateway.server_silent", "A backend server has sent nothing for a request for a while; the attempt continues until another server can take over.", Failure },
    { EventId::GatewayTakeover, Info, "gateway.takeover", "A request at a silent backend server is sent to another one, after the last event given.", Failure },
    { EventId::GatewayPromptPartQuarantined, Warning, "gateway.prompt_part_quarantined", "By this gateway's own evidence a part of a prompt crashes servers; this counts while no leader is in contact." },
    { EventId::GatewayPromptPartTrial, Info, "gateway.prompt_part_trial", "A request with a quarantined prompt part is let through, to test whether the part still crashes servers." },
    { EventId::GatewayServerLimited, Info, "gateway.server_limited", "A backend server named a limit of requests per second from all hosts, or another one than before, in an answer to this gateway." },
    { EventId::GatewayServerLimitEnded, Info, "gateway.server_limit_ended", "An answer of a backend server named no limit any more, and its request had been sent after the last that did." },
    { EventId::GatewayKeysUnconfirmed, Warning, "gateway.keys_unconfirmed", "No leader has confirmed the configuration in time: a key may have been removed since, and requests with a key are refused." },
    { EventId::GatewayKeysAccepted, Info, "gateway.keys_accepted", "A leader has confirmed the configuration, and requests with a key are served again." },
    { EventId::GatewayHedgeSent, Info, "gateway.hedge_sent", "A request whose server has not answered within the usual time was sent to a second server as well; both servers are given." },
    { EventId::GatewayHedgeEnded, Info, "gateway.hedge_ended", "The second send of a hedged request has ended; both servers are given, and which of them the forwarded answer is of: first, second or none." },

    // 2100: coordinator
    { EventId::CoordinatorStarted, Info, "coordinator.started", "The coordinator has read its data folder; identity, incarnation and version are given." },
    { EventId::CoordinatorConfigurationAgreed, Info, "coordinator.configuration_agreed", "An operator's configuration was acknowledged; the version in force is given." },
    { EventId::CoordinatorConfigurationRefused, Warning, "coordinator.configuration_refused", "An operator's configuration was not acknowledged; the reason is given." },
    { EventId::CoordinatorMembersChanged, Info, "coordinator.members_changed", "The leader attempted one step of a membership change; the outcome is given." },
    { EventId::CoordinatorGivesOrders, Info, "coordinator.gives_orders", "The orders of an earlier leader have expired, and this host gives orders to servers." },
    { EventId::CoordinatorOrdersEnded, Info, "coordinator.orders_ended", "This host is no longer the leader and gives no orders." },
    { EventId::CoordinatorOrder, Info, "coordinator.order", "An order was sent to a server; its answer, or that there was none, is given." },
    { EventId::CoordinatorReportUnavailable, Warning, "coordinator.report_unavailable", "A server did not report the models that it holds; it gets no orders until it does." },
    { EventId::CoordinatorModelTaken, Info, "coordinator.model_taken", "A server now holds a model that was ordered; the time since the order is given." },
    { EventId::CoordinatorRelayUnreadable, Warning, "coordinator.relay_unreadable", "A message from the leading coordinator cannot be decoded; the reason is given." },
    { EventId::CoordinatorConfigurationReceived, Info, "coordinator.configuration_received", "An operator's configuration arrived here; its version, the version in force and the leader known are given." },
    { EventId::CoordinatorLeaderCallFailed, Info, "coordinator.leader_call_failed", "One attempt to forward an operator's call to the leader failed; the target, the reason and the duration are given.", Failure },
    { EventId::CoordinatorServerLeaving, Info, "coordinator.server_leaving", "A server announced in an answer to this host or a gateway that it is leaving, before the platform's list said so." },
    { EventId::CoordinatorServerCrash, Info, "coordinator.server_crash", "A server ended while a request, whose answer had not begun, was there; the keys of the prompt's shared parts are given.", Failure },
    { EventId::CoordinatorPromptPartQuarantined, Warning, "coordinator.prompt_part_quarantined", "A request that came again, or requests with a part of a prompt, crashed several servers in a row, and no server began to answer one since; gateways refuse such requests." },
    { EventId::CoordinatorPromptPartReleased, Info, "coordinator.prompt_part_released", "A server began to answer a request with a quarantined prompt part; such requests are served again." },
    { EventId::CoordinatorPromptPartTrial, Info, "coordinator.prompt_part_trial", "A gateway, or the gateways behind a relay, may let one request with a quarantined prompt part through." },
    { EventId::CoordinatorLoadCrash, Info, "coordinator.load_crash", "A server ended while it loaded a model; whether the model's next load is postponed, since several servers in a row ended so, is given.", Failure },
    { EventId::CoordinatorServerLimited, Info, "coordinator.server_limited", "A host reported that a server limits the requests per second from all hosts, or changed or ended its limit." },
    { EventId::CoordinatorNotReplaced, Warning, "coordinator.not_replaced", "This host stops as a voter, though a learner was there to replace it; how long it has waited is given." },
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
