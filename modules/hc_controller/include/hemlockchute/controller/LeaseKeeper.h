#pragma once

#include "hemlockchute/state/Commands.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Decides whether this host may lead its data centre's placement, and until when.

    A lease comes from the keepers, or in a cut from the promises of every other host that was
    listed as a seeker in this term. docs/design/terms.md names the rules and says why no two
    hosts ever give orders at the same time. It does no I/O: the caller sends what nextCommand()
    and nextPromiseRound() give, and hands the answers back with the time.

    @code
    if (auto seek = lease.nextCommand(now))
        send(seek->command, [&](TermAnswer answer) { lease.keeperAnswered(seek->number, answer, now()); });
    if (lease.mayOrder(now))
        giveOrders();
    @endcode

    Thread safety: one thread at a time.

    @see OrderBook
*/
class LeaseKeeper {
public:
    /** Lengths of time. */
    struct Options {
        /** Length of the keepers' lease, and of a promise. */
        Duration lease = 5s;
        /** Part of a lease that is left unused, for clocks that drift apart. */
        unsigned driftPerMille = 50;
        Duration renewInterval = 1500ms;
        /** A command without an answer for so long is no longer waited for. */
        Duration commandTimeout = 2s;
        /** A holder whose lease has less than this left asks for promises as well. */
        Duration promiseThreshold = 2500ms;
        Duration promiseInterval = 500ms;
        /** Hosts seek one after the other by their place in the list, so far apart. */
        Duration seekStagger = 150ms;

        Options withLease(Duration) const;
        Options withDriftPerMille(unsigned) const;
    };

    /** Numbers the commands and the rounds of promises of one life. */
    using RequestNumber = NumberId<struct LeaseRequestTag>;

    /** A command for the keepers. */
    struct KeeperCommand {
        RequestNumber number;
        CommandBody command;
    };

    /** A question to every host named: promise not to seek the term for `length`. */
    struct PromiseRound {
        RequestNumber number;
        FencingNumber fencing;
        Duration length {};
        std::vector<HostName> hosts;
    };

    /**
        `attemptPrefix` must differ from that of any earlier life. Preconditions: self is one of the
        hosts; `startedAt` is the time of the process's start, or later.
    */
    LeaseKeeper(DataCentreName, HostName self, std::vector<HostName> hosts, std::string attemptPrefix, Instant startedAt, Options);

    //==============================================================================
    /** The command to send to the keepers now, if any. */
    std::optional<KeeperCommand> nextCommand(Instant now);
    /** Takes the answer to a command; one that is no longer waited for changes nothing. */
    void keeperAnswered(RequestNumber, const TermAnswer&, Instant now);
    /** Ends the wait for a command that got no answer. */
    void keeperFailed(RequestNumber, Instant now);

    //==============================================================================
    /** The promises to ask for now, if any. */
    std::optional<PromiseRound> nextPromiseRound(Instant now);
    /** Takes another host's answer. */
    void promiseAnswered(RequestNumber, const HostName& from, bool isPromised, Instant now);
    /** Answers another host's question; true promises not to seek the term for that long. */
    bool promise(const HostName& holder, Duration length, Instant now);

    //==============================================================================
    /** True while this host holds the term, whether or not it may give orders yet. */
    bool isHolder(Instant now) const;
    /** True while this host, and no other, may give orders. */
    bool mayOrder(Instant now) const;
    /** When the lease held now ends. */
    Instant leaseEnd() const { return m_leaseEnd; }
    /** The number of the term held, or held last. */
    FencingNumber fencing() const { return m_fencing; }
    /** When orders of earlier holders can no longer be sent. Precondition: isHolder(). */
    Instant ordersFrom() const { return m_ordersFrom; }
    /** Who leads as far as this host knows; empty when it does not. */
    HostName leader(Instant now) const;

    //==============================================================================
    /** Gives the term up; from now on mayOrder() is false. Nothing to send when the term is not held or its wait is not over. */
    std::optional<ReleaseTerm> release(Instant now);
    /** Hears that the holder has given the term up. */
    void noteReleased(Instant now);

private:
    enum class RequestKind {
        Seek,
        Renewal
    };

    struct Request {
        RequestNumber number;
        RequestKind kind = RequestKind::Seek;
        Instant sentAt;
    };

    struct Round {
        RequestNumber number;
        Instant askedAt;
        std::set<HostName> missing;
    };

    KeeperCommand makeCommand(RequestKind, Instant now);
    void takeGrant(const Request&, const TermAnswer&, Instant now);
    void takeRefusal(const TermAnswer&, Instant now);
    void extendLease(Instant from, Duration length, Instant now);
    void dropExpired(Instant now);
    Duration usablePart(Duration) const;
    Duration stagger() const;

    DataCentreName m_dataCentre;
    HostName m_self;
    std::vector<HostName> m_hosts;
    std::string m_attemptPrefix;
    Options m_options;
    RequestNumber m_lastNumber;
    std::optional<Request> m_request;
    std::optional<Round> m_round;
    Instant m_maySeekFrom;
    Instant m_nextSeek;
    Instant m_nextRenewal;
    Instant m_nextRound;
    bool m_isHolder = false;
    bool m_isReleasing = false;
    FencingNumber m_fencing;
    Instant m_leaseEnd;
    Instant m_ordersFrom;
    HostName m_knownLeader;
    Instant m_knownUntil;
};

} // namespace hemlockchute
