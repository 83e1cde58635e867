#pragma once

namespace hemlockchute {

//==============================================================================
/**
    Reserves slots of each engine for more urgent ranks.

    Requests are not pre-empted: an urgent request that finds every slot taken by less urgent ones
    has to wait for one of them, whatever the order of the queue. Each rank may therefore fill a few
    slots fewer than the next more urgent one. A rank below its floor is exempt, because otherwise
    sustained urgent load would leave it less than its floor.

    @code
    unsigned usable = queue.isBelowFloor(rank) ? slots : reserve.usable(slots, moreUrgentRanks);
    @endcode

    Thread safety: immutable.

    @see RequestQueue::isBelowFloor
*/
class SlotReserve {
public:
    /** How many slots are reserved. */
    struct Options {
        /** The percentage of slots that a rank leaves to each more urgent one; at least one slot unless it is 0. */
        unsigned reservedPercent = 12;

        Options withReservedPercent(unsigned) const;
    };

    explicit SlotReserve(Options);

    /** The slots of an engine that a rank may fill, at least one unless the engine has none. `moreUrgentRanks` is the number of more urgent ranks. */
    unsigned usable(unsigned slots, unsigned moreUrgentRanks) const;

private:
    Options m_options;
};

} // namespace hemlockchute
