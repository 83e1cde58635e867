#pragma once

#include "SimulatedDisk.h"

#include <deque>
#include <map>
#include <random>
#include <string>

namespace hemlockchute {

//==============================================================================
/**
    Keepers in virtual time on a network that loses, delays, duplicates and reorders messages.

    Each keeper has its own drifting clock, and a disk whose writes take time and are lost in a
    crash. After every event an oracle checks that a term has at most one leader, that committed
    entries neither change nor move, and that reads see what was committed before them. A violation
    throws std::logic_error. Thread safety: one thread at a time.
*/
class SimulatedCluster {
public:
    SimulatedCluster(unsigned keepers, std::uint64_t seed);

    /** Runs the simulation for a duration of virtual time. */
    void advance(Duration);
    /** Makes the network lose, duplicate and delay many messages, or few. */
    void setChaotic(bool chaotic) { m_chaotic = chaotic; }
    /** Gives each direction of each link a random delay, or cuts it. */
    void randomiseLinks();
    /** Cuts every link of one keeper. */
    void isolate(KeeperId);
    /** Removes the cuts and delays of all links. */
    void heal() { m_links.clear(); }
    /** Sets the longest time that a write to a keeper's disk takes. */
    void slowDisk(KeeperId keeper, Duration duration) { m_nodes.at(keeper).maximumWriteDuration = duration; }
    /** Crashes a process, also while it writes: what was not synced may be lost in part. */
    void crash(KeeperId);
    void start(KeeperId);
    /** Pauses a process; messages to it are delivered afterwards. */
    void pause(KeeperId, Duration);
    /** Empties the disk of a keeper and starts it as a new incarnation. */
    void loseDisk(KeeperId);
    /** Requests the next membership change that turns new incarnations into voters again. */
    void repairStep();
    /** Requests the removal of a voter, chosen by number. */
    void removeVoter(unsigned);
    /** Makes a keeper step down if it leads. */
    void stepDown(KeeperId);
    void propose(KeeperId);
    void read(KeeperId);
    void compact(KeeperId);

    /**
        Starts every keeper, heals the network and waits until a new command is applied everywhere.
        Returns a description of the fault, or an empty string when all is well or a quorum is lost.
    */
    std::string healAndCheckProgress();
    /** True when each keeper's view of the membership has a quorum among the current incarnations. */
    bool hasLiveQuorums() const;
    std::size_t committedCount() const { return m_committedEntries.size(); }
    std::size_t readCount() const { return m_readsAnswered; }
    std::size_t installCount() const { return m_installs; }
    std::size_t leaderCount() const { return m_leaders.size(); }
    /** The leader of the highest term. Precondition: there has been a leader. */
    KeeperId latestLeader() const { return m_leaders.rbegin()->second.keeper; }

private:
    struct Node {
        std::unique_ptr<SimulatedDisk> disk;
        std::unique_ptr<Replica> replica;
        std::optional<Effects> pendingEffects;
        Instant persistedAt;
        Duration maximumWriteDuration = 5ms;
        Instant pausedUntil;
        /** Clock drift in parts per thousand, positive when fast. */
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

    void insertEmptyDisk(Node&, const Membership& initial);
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
