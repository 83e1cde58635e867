#pragma once

namespace hemlockchute {

//==============================================================================
/**
    Keeps slots of each engine free for more urgent ranks.

    A request runs to its end, so that an urgent one that finds every slot taken by patient ones has
    to wait for one of them, whatever the order of the queue. Each rank may therefore fill a few
    slots fewer than the next more urgent one. A rank that is owed service under its floor is not
    held back, or a flood of urgent work would leave it less than its floor.

    @code
    unsigned usable = queue.isBelowFloor(rank) ? slots : reserve.usable(slots, moreUrgentRanks);
    @endcode

    Thread safety: immutable.

    @see RequestQueue::isBelowFloor
*/
class SlotReserve {
public:
    /** How much is kept free. */
    struct Options {
        /** Slots in each hundred that a rank leaves to each more urgent one; at least one slot when not zero. */
        unsigned reservedPercent = 12;

        Options withReservedPercent(unsigned) const;
    };

    explicit SlotReserve(Options);

    /** Slots of an engine that a rank may fill; at least one. `moreUrgentRanks` is the number of ranks before it. */
    unsigned usable(unsigned slots, unsigned moreUrgentRanks) const;

private:
    Options m_options;
};

} // namespace hemlockchute
