#include "hemlockchute/core/EventTable.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

using enum Severity;

constexpr EventDefinition events[] = {
    // 1000: kernel
    { EventId::DaemonStarted, Info, "daemon.started", "The daemon has read its settings and serves." },
    { EventId::DaemonReloaded, Info, "daemon.reloaded", "The daemon read its settings again after SIGHUP." },
    { EventId::DaemonStopping, Info, "daemon.stopping", "The daemon was told to stop and finishes what runs." },
    { EventId::DaemonStopped, Info, "daemon.stopped", "The daemon has finished what ran and exits." },
    { EventId::DaemonFailed, Error, "daemon.failed", "The daemon could not start or go on; the reason is given." },
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

    // 1600: router
    { EventId::RouterAttemptFailed, Info, "router.attempt-failed", "A backend server gave no whole answer to one attempt; the reason is given." },
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

    // 1850: operators
    { EventId::OperatorSubmitted, Info, "operator.submitted", "An operator submitted a document; the answer's status is given." },
    { EventId::OperatorRefused, Warning, "operator.refused", "A request on the operators' port carried no known token." },
    { EventId::OperatorChangedMembers, Info, "operator.changed-members", "An administrator changed the keepers; the outcome is given." },

    // 1900: report

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
