#pragma once

#include "Coordinators.h"

namespace review {

//==============================================================================
/** A machine of the core is replaced as planned; then another one loses its disk. */
class LostQuorum {
public:
    LostQuorum(Coordinators& core, const std::string& trouble, Record& record)
        : m_core(core)
        , m_isTroubled(trouble != "0")
        , m_isPlannedOnly(trouble == "planned")
        , m_afterRemovalMs(trouble == "late" ? lateMs : afterRemovalMs)
        , m_record(record)
    {
    }

    int run()
    {
        m_core.add("core-one", "lhr-gulberg");
        m_core.add("core-two", "lhr-shadman");
        m_core.add("core-three", "lhr-johar");
        for (std::size_t number : m_core.all())
            m_core.start(number, true);
        auto leader = m_core.findLeader(std::chrono::seconds(20));
        if (!leader || !changeSome())
            return fail("the core does not start");
        sleepFor(Milliseconds(contactMs));
        // The successor comes first, with an empty disk and at an address of its own.
        std::size_t old = (*leader + 1) % 3;
        std::size_t successor = m_core.add("core-four", m_core.at(old).zone);
        m_core.start(successor, false);
        std::size_t next = 3 - *leader - old;
        if (m_isPlannedOnly)
            m_core.start(m_core.add("core-five", m_core.at(next).zone), false);
        sleepFor(Milliseconds(catchUpMs + 2000));
        m_record.add("the successor has had " + std::to_string(catchUpMs + 2000) + " ms; catchUpS is " + std::to_string(catchUpMs / 1000));
        if (m_isTroubled) {
            m_core.remove(old);
            sleepFor(Milliseconds(m_afterRemovalMs));
            // No machine is lost now: the one that was removed has stopped counting.
            if (m_isPlannedOnly)
                m_core.remove(next);
            else
                loseDisk(next);
            sleepFor(Milliseconds(recoverMs));
        }
        m_record.add("recoverS after all machines are back");
        m_core.change(m_version + 1, *leader);
        return m_core.readBack(m_version, Milliseconds(2 * contactMs));
    }

private:
    static constexpr int contactMs = 3000;
    static constexpr int catchUpMs = 4000;
    static constexpr int afterRemovalMs = 2000;
    /** After the group has replaced the machine that is gone. */
    static constexpr int lateMs = 6000;
    static constexpr int downMs = 1000;
    static constexpr int recoverMs = 12'000;

    int fail(const std::string& reason)
    {
        m_record.add("could not run: " + reason);
        return couldNotRun;
    }

    void loseDisk(std::size_t number)
    {
        m_core.loseDisk(number);
        sleepFor(Milliseconds(downMs));
        m_core.start(number, false);
    }

    bool changeSome()
    {
        for (int i = 0; i < 5; ++i) {
            if (!m_core.changeUntilAcknowledged(++m_version, m_core.all()))
                return false;
        }
        return true;
    }

    Coordinators& m_core;
    bool m_isTroubled;
    bool m_isPlannedOnly;
    int m_afterRemovalMs;
    Record& m_record;
    unsigned m_version = 0;
};

inline int runCase(int argc, char** argv)
{
    return runInFolder<LostQuorum>(argc, argv, 40'000, false);
}

} // namespace review
