#pragma once

#include "Coordinators.h"

namespace review {

//==============================================================================
/** The node that leads is cut off while changes are in progress. Later, the newest change rests on two disks, one of which is lost. */
class LostChange {
public:
    LostChange(Coordinators& core, const std::string& trouble, Record& record)
        : m_core(core)
        , m_isTroubled(trouble != "0")
        , m_hasFirstCut(m_isTroubled && trouble != "second")
        , m_record(record)
    {
    }

    int run()
    {
        static constexpr const char* zones[] = { "lhr-gulberg", "lhr-shadman", "lhr-johar" };
        static constexpr const char* names[] = { "core-one", "core-two", "core-three" };
        for (std::size_t i = 0; i < 3; ++i) {
            std::size_t number = m_core.add(names[i], zones[i]);
            if (!m_links.add(names[i], m_core.at(number).internal, *m_core.at(number).behindProxy))
                return fail("a proxy cannot listen");
        }
        for (std::size_t number : m_core.all())
            m_core.start(number, true);
        if (!m_core.findLeader(std::chrono::seconds(20)))
            return fail("the coordinators elect no leader");
        while (m_core.tries() < changesBefore) {
            if (!m_core.changeUntilAcknowledged(++m_version, m_core.all(), false))
                return fail("a change of the quiet part was not acknowledged");
        }
        m_record.add("acknowledged " + std::to_string(m_version) + " changes, one after the other");
        auto old = m_core.findLeader(std::chrono::seconds(5));
        if (!old || !changeDuringCut(*old))
            return fail("the changes during the cut were not acknowledged");
        // All machines run and are connected for more than contactMs and catchUpS.
        if (!m_core.awaitMetric("hemlock_coordinator_configuration_version", m_version, std::chrono::seconds(10)))
            return fail("not all nodes have caught up");
        sleepFor(Milliseconds(quietMs));
        m_record.add("all three nodes have version " + std::to_string(m_version) + ", and " + std::to_string(quietMs) + " ms without trouble have passed");
        return loseDisk(*old);
    }

private:
    /** Sent before the cut. After these and four more, 4 MiB of changes have been applied; a try that was not answered may count or not. */
    static constexpr unsigned changesBefore = 97;
    /** The most that the operator has in progress at once. */
    static constexpr unsigned changesInProgress = 8;
    static constexpr int quietMs = 5000;
    static constexpr int applyMs = 500;
    static constexpr int darkMs = 1000;
    static constexpr int recoverMs = 12'000;
    static constexpr int readBackMs = 4000;

    int fail(const std::string& reason)
    {
        m_record.add("could not run: " + reason);
        return couldNotRun;
    }

    std::vector<std::size_t> othersThan(std::size_t number) const
    {
        std::vector<std::size_t> others = m_core.all();
        std::erase(others, number);
        return others;
    }

    /** The operator reaches either side: eight changes are in progress at the node that leads, and are sent again to the others without a clear answer. */
    bool changeDuringCut(std::size_t leader)
    {
        if (m_hasFirstCut)
            cutOff(leader);
        std::vector<std::thread> calls;
        for (unsigned i = 1; i <= changesInProgress; ++i)
            calls.emplace_back([this, leader, version = m_version + i] { m_core.change(version, leader); });
        for (std::thread& each : calls)
            each.join();
        for (unsigned i = 1; i <= changesInProgress; ++i) {
            if (!m_core.changeUntilAcknowledged(++m_version, othersThan(leader)))
                return false;
        }
        if (m_hasFirstCut)
            heal(leader);
        return true;
    }

    /** A change is acknowledged while one node is cut off. Then one of the others loses its disk, the third is dark for a second, and the cut heals. */
    int loseDisk(std::size_t old)
    {
        auto leader = m_core.findLeader(std::chrono::seconds(5));
        if (!leader)
            return fail("no leader after the first cut");
        std::size_t wiped = *leader == old ? othersThan(old).front() : *leader;
        std::size_t behind = 3 - old - wiped;
        if (m_isTroubled)
            cutOff(behind);
        if (!m_core.changeUntilAcknowledged(++m_version, { wiped, old }))
            return fail("the last change was not acknowledged");
        if (m_isTroubled) {
            sleepFor(Milliseconds(applyMs));
            m_core.loseDisk(wiped);
            m_core.kill(old);
            heal(behind);
            sleepFor(Milliseconds(darkMs));
            m_core.start(old, false);
            m_core.start(wiped, false);
        }
        return m_core.readBack(m_version, Milliseconds((m_isTroubled ? recoverMs : 0) + readBackMs));
    }

    void cutOff(std::size_t number)
    {
        for (std::size_t other : othersThan(number))
            m_links.cut(m_core.at(number).name, m_core.at(other).name);
        m_record.add(m_core.at(number).name + ": cut off from the other core machines");
    }

    void heal(std::size_t number)
    {
        for (std::size_t other : othersThan(number))
            m_links.heal(m_core.at(number).name, m_core.at(other).name);
        m_record.add(m_core.at(number).name + ": the cut has healed");
    }

    Coordinators& m_core;
    bool m_isTroubled;
    bool m_hasFirstCut;
    Record& m_record;
    Links m_links;
    unsigned m_version = 0;
};

inline int runCase(int argc, char** argv)
{
    return runInFolder<LostChange>(argc, argv, 41'700, true);
}

} // namespace review
