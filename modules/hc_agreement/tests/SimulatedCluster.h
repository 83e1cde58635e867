#pragma once

#include "hemlockchute/agreement/agreement.h"

#include <deque>
#include <map>
#include <random>
#include <string>

namespace hemlockchute {

/** What a keeper's disk holds. */
struct SimulatedDisk {
    IncarnationId incarnation;
    HardState hardState;
    std::optional<ReplicaSnapshot> snapshot;
    std::vector<LogEntry> entries;
    Membership initialMembership;

    void store(const Effects&);
};

//==============================================================================
/**
    Keepers in virtual time over a network that loses, delays, doubles and reorders messages.

    Each keeper has a clock of its own that drifts, and a disk whose writes take time and are lost
    in a crash. After every event an oracle checks that a term has one leader, that what was
    committed once stays at its place, and that reads see what was committed before them. A
    violation throws std::logic_error. Thread safety: one thread at a time.
*/
class SimulatedCluster {
public:
    SimulatedCluster(unsigned keepers, std::uint64_t seed);

    /** Lets time pass. */
    void advance(Duration);
    /** The network loses and delays many messages, or few. */
    void setChaotic(bool chaotic) { m_chaotic = chaotic; }
    /** Gives every direction of every link a delay or a cut of its own. */
    void randomiseLinks();
    /** Cuts every link of one keeper. */
    void isolate(KeeperId);
    /** Makes every link quick. */
    void heal() { m_links.clear(); }
    /** Makes a keeper's disk take its time. */
    void slowDisk(KeeperId keeper, Duration duration) { m_nodes.at(keeper).maximumWriteDuration = duration; }
    /** Ends a process; its unsynced writes are lost. */
    void crash(KeeperId);
    void start(KeeperId);
    /** Stops a process for a while; its messages wait. */
    void pause(KeeperId, Duration);
    /** Empties the disk of a keeper and starts it as a new incarnation. */
    void loseDisk(KeeperId);
    /** Takes the next step that brings new incarnations back in as voters. */
    void repairStep();
    /** Asks a leader to remove a voter, chosen by number. */
    void removeVoter(unsigned);
    /** Has a keeper give up the lead, if it has it. */
    void stepDown(KeeperId);
    void propose(KeeperId);
    void read(KeeperId);
    void compact(KeeperId);

    /** Starts every keeper, heals the network and waits for a new command to commit everywhere; says what is wrong, or nothing. */
    std::string healAndCheckProgress();
    /** True when every living keeper's idea of the membership has a living quorum. */
    bool hasLiveQuorums() const;
    std::size_t committedCount() const { return m_committedEntries.size(); }
    std::size_t readCount() const { return m_readsAnswered; }
    std::size_t installCount() const { return m_installs; }
    std::size_t leaderCount() const { return m_leaders.size(); }
    /** Whoever became leader last. Precondition: somebody has. */
    KeeperId latestLeader() const { return m_leaders.rbegin()->second.keeper; }

private:
    struct Node {
        SimulatedDisk disk;
        std::unique_ptr<Replica> replica;
        std::optional<Effects> pendingEffects;
        Instant persistedAt;
        Duration maximumWriteDuration = 5ms;
        Instant pausedUntil;
        /** Parts per thousand by which the clock runs fast or slow. */
        int drift = 0;
        Duration offset {};
        LogIndex applied;
        std::string state;
    };

    /** One direction of a link. */
    struct Link {
        Duration delay {};
        bool isCut = false;
    };

    struct InFlightMessage {
        Instant due;
        AgreementMessage message;
    };

    Instant localTime(const Node&) const;
    void step();
    void stepNode(KeeperId, Node&);
    void issueClientRequests(KeeperId);
    Duration randomDuration(Duration longest);
    void deliver();
    void transmit(const AgreementMessage&);
    void carryOut(KeeperId, Node&);
    void apply(Node&, const LogEntry&);
    void checkState(const Node&) const;
    void checkLeader(const Node&);
    void checkReads(const Node&, const Effects&);
    Node* leaderNode();
    bool change(Node& leader, const Membership&);
    bool areAllCaughtUp(const Membership&) const;
    std::string describe() const;
    ReplicaId idOf(KeeperId, const Node&) const;

    std::mt19937_64 m_random;
    std::map<KeeperId, Node> m_nodes;
    std::vector<InFlightMessage> m_inFlight;
    Instant m_now { 1h };
    bool m_chaotic = false;
    bool m_hasClients = true;
    std::map<std::pair<KeeperId, KeeperId>, Link> m_links;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextCommand = 1;
    std::uint64_t m_nextToken = 1;

    std::map<AgreementTerm, ReplicaId> m_leaders;
    std::vector<LogEntry> m_committedEntries;
    std::map<std::uint64_t, std::size_t> m_committedAtRead;
    std::size_t m_readsAnswered = 0;
    std::size_t m_installs = 0;
};

} // namespace hemlockchute
