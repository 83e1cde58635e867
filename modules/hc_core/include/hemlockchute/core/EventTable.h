#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace hemlockchute {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error
};

/** Every event the system logs. The value is the number that appears in the log; numbers are never reused. */
enum class EventId : std::uint16_t {
    // 1000: kernel
    DaemonStarted = 1000,
    DaemonReloaded = 1001,
    DaemonStopping = 1002,
    DaemonStopped = 1003,
    DaemonFailed = 1004,
    LogLinesLeftOut = 1005,
    DaemonHandlerFailed = 1006,
    DaemonRequestTooLarge = 1007,
    DaemonRequestTooSlow = 1008,
    DaemonRequestMemoryFull = 1009,
    DaemonIdleConnectionClosed = 1010,
    // 1100: storage

    // 1200: agreement

    // 1300: state and document

    // 1400: peer
    PeerStrangerDropped = 1400,
    PeerSilentDropped = 1401,
    PeerFault = 1402,
    DocumentInForce = 1403,
    DocumentUnreadable = 1404,

    // 1500: backend servers
    HostListChanged = 1500,
    HostListUnavailable = 1501,
    HostListRegained = 1502,
    HostListEntryUnreadable = 1503,

    // 1600: router
    RouterAttemptFailed = 1600,
    RouterPlacementLost = 1601,
    RouterRunUnknown = 1602,
    RouterClaimNotVoided = 1603,
    RouterDocumentInForce = 1604,
    RouterServerSilent = 1605,
    RouterTakeover = 1606,

    // 1700: controller
    ControllerTermGained = 1700,
    ControllerTermEnded = 1701,
    ControllerOrderSent = 1702,
    ControllerOrderUncertain = 1703,
    ControllerOrderUnrecorded = 1704,
    ControllerTakenOver = 1705,

    // 1800: keeper
    KeeperStarted = 1800,
    KeeperBegan = 1801,
    KeeperAwaitsMembership = 1802,
    KeeperLeads = 1803,
    KeeperFollows = 1804,
    KeeperStorageFailed = 1805,
    KeeperCompacted = 1806,
    KeeperInstalled = 1807,
    KeeperEntryUnreadable = 1808,
    KeeperFolderOutdated = 1809,
    KeeperSeesLeader = 1810,
    KeeperSuspended = 1811,
    KeeperResumed = 1812,

    // 1850: operators
    OperatorSubmitted = 1850,
    OperatorRefused = 1851,
    OperatorChangedMembers = 1852,

    // 1900: report

    // 2000: gateway
    GatewayAnswered = 2000,
    GatewayRefused = 2001,
    GatewayAttemptFailed = 2002,
    GatewayBrokenOff = 2003,
    GatewayCallerGone = 2004,
    GatewayConfigurationInForce = 2005,
    GatewayConfigurationUnreadable = 2006,
    GatewayCoordinatorLost = 2007,
    GatewayCoordinatorRegained = 2008,
    GatewayServerLeaving = 2009,
    GatewayServerPaused = 2010,
    GatewayNoticeUnreadable = 2011,
    GatewayServerSilent = 2012,
    GatewayTakeover = 2013,
    GatewayPromptPartQuarantined = 2014,
    GatewayPromptPartTrial = 2015,
    GatewayServerLimited = 2016,
    GatewayServerLimitEnded = 2017,
    GatewayKeysUnconfirmed = 2018,
    GatewayKeysAccepted = 2019,
    GatewayHedgeSent = 2030,
    GatewayHedgeEnded = 2031,

    // 2100: coordinator
    CoordinatorStarted = 2100,
    CoordinatorConfigurationAgreed = 2101,
    CoordinatorConfigurationRefused = 2102,
    CoordinatorMembersChanged = 2103,
    CoordinatorGivesOrders = 2104,
    CoordinatorOrdersEnded = 2105,
    CoordinatorOrder = 2106,
    CoordinatorReportUnavailable = 2107,
    CoordinatorModelTaken = 2108,
    CoordinatorRelayUnreadable = 2109,
    CoordinatorConfigurationReceived = 2110,
    CoordinatorLeaderCallFailed = 2111,
    CoordinatorServerLeaving = 2112,
    CoordinatorServerCrash = 2113,
    CoordinatorPromptPartQuarantined = 2114,
    CoordinatorPromptPartReleased = 2115,
    CoordinatorPromptPartTrial = 2116,
    CoordinatorLoadCrash = 2117,
    CoordinatorServerLimited = 2118,
    CoordinatorNotReplaced = 2119
};

/** What a record reports; when the log is full, failures are kept. */
enum class EventKind {
    Operation,
    /** A failed request, or a fault of the process. */
    Failure
};

/** One row of the catalogue. */
struct EventDefinition {
    EventId id;
    Severity severity;
    std::string_view name;
    std::string_view meaning;
    EventKind kind = severity >= Severity::Warning ? EventKind::Failure : EventKind::Operation;
};

/** Every event, in ascending order of number. docs/EVENTS.md is checked against this table. Thread safety: immutable. */
std::span<const EventDefinition> eventTable();

/** The row of one event. Precondition: the table contains the event. */
const EventDefinition& eventDefinition(EventId);

} // namespace hemlockchute
