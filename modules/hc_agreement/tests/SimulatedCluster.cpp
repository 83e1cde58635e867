#include "SimulatedCluster.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace hemlockchute {
namespace {

constexpr Duration stepLength = 2ms;
constexpr int largestDriftPerMille = 40;
constexpr Duration settleTime = 5s;
constexpr std::size_t chunkBytes = 16;

Replica::Options optionsFor(std::uint64_t seed)
{
    unsigned batch = 1 + seed % 4;
    return Replica::Options().withElectionTimeout(100ms).withHeartbeatInterval(20ms).withSeed(seed).withSnapshotChunkBytes(chunkBytes).withMaximumEntriesPerMessage(batch);
}

void require(bool holds, const std::string& what)
{
    if (!holds)
        throw std::logic_error(what);
}

} // namespace

//==============================================================================
SimulatedCluster::SimulatedCluster(unsigned keepers, std::uint64_t seed)
    : m_random(seed)
{
    Membership initial;
    for (unsigned i = 1; i <= keepers; ++i) {
        m_nodes.try_emplace(KeeperId(i));
        initial.voters.insert({ KeeperId(i), IncarnationId(i) });
    }
    for (auto& [id, node] : m_nodes) {
        insertEmptyDisk(node, initial);
        node.drift = static_cast<int>(m_random() % (2 * largestDriftPerMille + 1)) - largestDriftPerMille;
        node.offset = Duration(m_random() % 1'000'000'000);
        start(id);
    }
}

void SimulatedCluster::insertEmptyDisk(Node& node, const Membership& initial)
{
    node.disk = std::make_unique<SimulatedDisk>(IncarnationId(m_nextIncarnation++), initial, m_random());
}

ReplicaId SimulatedCluster::idOf(KeeperId keeper, const Node& node) const
{
    return { keeper, node.disk->incarnation() };
}

Instant SimulatedCluster::localTime(const Node& node) const
{
    return m_now + node.offset + (m_now.time_since_epoch() / 1000) * node.drift;
}

void SimulatedCluster::advance(Duration duration)
{
    for (Instant end = m_now + duration; m_now < end; m_now += stepLength)
        step();
}

void SimulatedCluster::step()
{
    for (auto& [id, node] : m_nodes) {
        if (node.replica && m_now >= node.pausedUntil)
            stepNode(id, node);
    }
    deliver();
}

/** Clients call at any time, also right after a pause and before the first tick. */
void SimulatedCluster::issueClientRequests(KeeperId id)
{
    if (m_random() % 4 == 0)
        read(id);
    if (m_random() % 16 == 0)
        propose(id);
}

Duration SimulatedCluster::randomDuration(Duration longest)
{
    return Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(longest.count() + 1)));
}

void SimulatedCluster::stepNode(KeeperId id, Node& node)
{
    if (m_hasClients)
        issueClientRequests(id);
    if (node.pendingEffects && m_now >= node.persistedAt)
        carryOut(id, node);
    if (!node.pendingEffects) {
        node.pendingEffects = node.replica->takeEffects();
        node.persistedAt = m_now + randomDuration(node.maximumWriteDuration);
    }
    node.replica->tick(localTime(node));
    checkLeader(node);
}

void SimulatedCluster::carryOut(KeeperId, Node& node)
{
    Effects effects = *std::exchange(node.pendingEffects, std::nullopt);
    require(!effects.isOutdated, "a replica lacks entries that it has acknowledged");
    node.disk->store(effects);
    if (effects.install) {
        node.applied = effects.install->lastIndex;
        node.state = effects.install->state;
        checkState(node);
        ++m_installs;
    }
    for (const AgreementMessage& message : effects.messages)
        transmit(message);
    for (const LogEntry& entry : effects.committed)
        apply(node, entry);
    checkReads(node, effects);
    node.replica->persisted(localTime(node));
}

//==============================================================================
void SimulatedCluster::transmit(const AgreementMessage& message)
{
    unsigned lossPercent = m_chaotic ? 20 : 1;
    unsigned duplicatePercent = m_chaotic ? 20 : 1;
    Duration longestDelay = m_chaotic ? 300ms : 6ms;
    Link link = m_links[{ message.from.keeper, message.to.keeper }];
    if (link.isCut || m_random() % 100 < lossPercent)
        return;
    unsigned copies = m_random() % 100 < duplicatePercent ? 2 : 1;
    auto decoded = decodeMessage(encodeMessage(message)).value();
    for (unsigned i = 0; i < copies; ++i)
        m_inFlight.push_back({ m_now + link.delay + randomDuration(longestDelay), decoded });
}

void SimulatedCluster::randomiseLinks()
{
    static constexpr Duration delays[] = { 0ms, 0ms, 5ms, 20ms, 60ms, 150ms };
    for (const auto& [from, fromNode] : m_nodes) {
        for (const auto& [to, toNode] : m_nodes)
            m_links[{ from, to }] = { delays[m_random() % std::size(delays)], m_random() % 5 == 0 };
    }
}

void SimulatedCluster::isolate(KeeperId keeper)
{
    for (const auto& [other, node] : m_nodes) {
        m_links[{ keeper, other }].isCut = true;
        m_links[{ other, keeper }].isCut = true;
    }
}

void SimulatedCluster::deliver()
{
    std::vector<InFlightMessage> waiting;
    std::vector<InFlightMessage> due;
    for (InFlightMessage& flight : m_inFlight) {
        auto to = m_nodes.find(flight.message.to.keeper);
        bool isDue = flight.due <= m_now && m_now >= to->second.pausedUntil;
        (isDue ? due : waiting).push_back(std::move(flight));
    }
    m_inFlight = std::move(waiting);
    for (const InFlightMessage& flight : due) {
        Node& node = m_nodes.at(flight.message.to.keeper);
        if (!node.replica)
            continue;
        node.replica->receive(flight.message, localTime(node));
        checkLeader(node);
    }
}

//==============================================================================
void SimulatedCluster::crash(KeeperId id)
{
    Node& node = m_nodes.at(id);
    if (!node.replica)
        return;
    node.replica.reset();
    node.disk->interrupt(std::exchange(node.pendingEffects, std::nullopt).value_or(Effects()));
}

void SimulatedCluster::start(KeeperId id)
{
    Node& node = m_nodes.at(id);
    if (node.replica)
        return;
    RecoveredState recovered = node.disk->reopen();
    node.applied = recovered.snapshot ? recovered.snapshot->lastIndex : LogIndex();
    node.state = recovered.snapshot ? recovered.snapshot->state : std::string();
    node.replica = std::make_unique<Replica>(idOf(id, node), optionsFor(m_random()), recovered, localTime(node));
    node.pausedUntil = m_now;
}

void SimulatedCluster::pause(KeeperId id, Duration duration)
{
    m_nodes.at(id).pausedUntil = m_now + duration;
}

void SimulatedCluster::loseDisk(KeeperId id)
{
    crash(id);
    Node& node = m_nodes.at(id);
    insertEmptyDisk(node, {});
    start(id);
}

//==============================================================================
SimulatedCluster::Node* SimulatedCluster::leaderNode()
{
    Node* best = nullptr;
    for (auto& [id, node] : m_nodes) {
        bool leads = node.replica && node.replica->isLeader() && m_now >= node.pausedUntil;
        if (leads && (best == nullptr || node.replica->term() > best->replica->term()))
            best = &node;
    }
    return best;
}

bool SimulatedCluster::change(Node& leader, const Membership& wanted)
{
    return leader.replica->changeMembership(wanted, localTime(leader)).has_value();
}

void SimulatedCluster::repairStep()
{
    Node* leader = leaderNode();
    if (leader == nullptr)
        return;
    const Membership current = leader->replica->membership();
    for (const auto& item : m_nodes) {
        KeeperId keeper = item.first;
        ReplicaId replica = idOf(keeper, item.second);
        if (current.voters.contains(replica))
            continue;
        Membership wanted = current;
        if (!current.learners.contains(replica)) {
            wanted.learners.insert(replica);
        } else if (auto former = std::find_if(current.voters.begin(), current.voters.end(), [&](const ReplicaId& voter) { return voter.keeper == keeper; }); former != current.voters.end()) {
            wanted.voters.erase(*former);
        } else {
            wanted.learners.erase(replica);
            wanted.voters.insert(replica);
        }
        change(*leader, wanted);
        return;
    }
}

void SimulatedCluster::removeVoter(unsigned number)
{
    Node* leader = leaderNode();
    if (leader == nullptr)
        return;
    Membership wanted = leader->replica->membership();
    if (wanted.voters.size() < 3)
        return;
    wanted.voters.erase(std::next(wanted.voters.begin(), number % static_cast<unsigned>(wanted.voters.size())));
    change(*leader, wanted);
}

void SimulatedCluster::stepDown(KeeperId id)
{
    Node& node = m_nodes.at(id);
    if (node.replica && m_now >= node.pausedUntil)
        node.replica->stepDown(localTime(node));
}

void SimulatedCluster::propose(KeeperId id)
{
    Node& node = m_nodes.at(id);
    if (node.replica && m_now >= node.pausedUntil)
        (void)node.replica->propose("c" + std::to_string(m_nextCommand++), localTime(node));
}

void SimulatedCluster::read(KeeperId id)
{
    Node& node = m_nodes.at(id);
    if (!node.replica || m_now < node.pausedUntil)
        return;
    m_committedAtRead[m_nextToken] = m_committedEntries.size();
    node.replica->read(m_nextToken++, localTime(node));
}

void SimulatedCluster::compact(KeeperId id)
{
    Node& node = m_nodes.at(id);
    bool installs = node.pendingEffects && node.pendingEffects->install;
    if (!node.replica || installs)
        return;
    auto snapshot = node.replica->compact(node.applied, node.state);
    if (!snapshot)
        return;
    node.disk->compact(*snapshot);
}

//==============================================================================
void SimulatedCluster::apply(Node& node, const LogEntry& entry)
{
    require(entry.index == node.applied.next(), "a committed entry was skipped or repeated");
    node.applied = entry.index;
    node.state += entry.payload.substr(0, entry.kind == LogEntry::Kind::Command ? entry.payload.size() : 0);
    std::size_t position = entry.index.value() - 1;
    if (position < m_committedEntries.size()) {
        require(m_committedEntries[position] == entry, "a committed entry was lost or changed");
        return;
    }
    require(position == m_committedEntries.size(), "a committed entry is missing");
    m_committedEntries.push_back(entry);
}

void SimulatedCluster::checkState(const Node& node) const
{
    std::string expected;
    for (std::size_t i = 0; i < node.applied.value(); ++i)
        expected += m_committedEntries.at(i).kind == LogEntry::Kind::Command ? m_committedEntries[i].payload : std::string();
    require(node.state == expected, "an installed snapshot differs from the state at its index");
}

void SimulatedCluster::checkLeader(const Node& node)
{
    if (!node.replica->isLeader())
        return;
    ReplicaId id = *node.replica->leader();
    auto [known, isNew] = m_leaders.emplace(node.replica->term(), id);
    require(known->second == id, "two leaders in one term");
}

void SimulatedCluster::checkReads(const Node& node, const Effects& effects)
{
    for (std::uint64_t token : effects.readsReady) {
        require(node.applied.value() >= m_committedAtRead.at(token), "a read missed what was committed before it");
        ++m_readsAnswered;
    }
}

//==============================================================================
bool SimulatedCluster::hasLiveQuorums() const
{
    std::set<ReplicaId> currentReplicas;
    for (const auto& [id, node] : m_nodes)
        currentReplicas.insert(idOf(id, node));
    auto hasQuorum = [&](const Membership& membership) {
        auto isCurrent = [&](const ReplicaId& voter) { return currentReplicas.contains(voter); };
        auto count = static_cast<std::size_t>(std::count_if(membership.voters.begin(), membership.voters.end(), isCurrent));
        return count >= membership.voters.size() / 2 + 1;
    };
    auto isMember = [](const auto& item) { return !item.second.replica->membership().voters.empty(); };
    return std::any_of(m_nodes.begin(), m_nodes.end(), isMember) && std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& item) {
        return !isMember(item) || hasQuorum(item.second.replica->membership());
    });
}

std::string SimulatedCluster::healAndCheckProgress()
{
    setChaotic(false);
    m_hasClients = false;
    heal();
    for (auto& [id, node] : m_nodes) {
        start(id);
        node.pausedUntil = m_now;
        node.maximumWriteDuration = 5ms;
    }
    if (!hasLiveQuorums())
        return {};
    advance(settleTime);
    Node* leader = leaderNode();
    if (leader == nullptr)
        return "no leader:" + describe();
    std::size_t before = m_committedEntries.size();
    (void)leader->replica->propose("last", localTime(*leader));
    advance(settleTime);
    return m_committedEntries.size() > before && areAllCaughtUp(leader->replica->membership()) ? std::string() : "no progress:" + describe();
}

bool SimulatedCluster::areAllCaughtUp(const Membership& membership) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& item) {
        ReplicaId id = idOf(item.first, item.second);
        bool belongs = membership.voters.contains(id) || membership.learners.contains(id);
        return !belongs || item.second.applied.value() == m_committedEntries.size();
    });
}

std::string SimulatedCluster::describe() const
{
    std::ostringstream text;
    text << " committed " << m_committedEntries.size();
    for (const auto& [id, node] : m_nodes) {
        text << "; keeper " << id << '/' << node.disk->incarnation() << " term " << node.replica->term() << " last " << node.replica->lastIndex()
             << " applied " << node.applied << (node.replica->isLeader() ? " leads" : "") << " voters";
        for (const ReplicaId& voter : node.replica->membership().voters)
            text << ' ' << voter.keeper << '/' << voter.incarnation;
    }
    return text.str();
}

} // namespace hemlockchute
