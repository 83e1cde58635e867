#pragma once

#include "hemlockchute/core/Clock.h"

namespace hemlockchute::experiment {

//==============================================================================
/**
    Service times of the weight store and of adapters: full speed up to a number in flight, and
    longer in proportion beyond.

    Thread safety: one thread at a time.
*/
class SharedService {
public:
    explicit SharedService(unsigned atFullSpeed)
        : m_atFullSpeed(atFullSpeed)
    {
    }

    /** Begins one piece of work and returns how long it takes. */
    Duration begin(Duration alone)
    {
        ++m_inFlight;
        Duration time = alone * m_slowness;
        return m_inFlight <= m_atFullSpeed ? time : time * m_inFlight / m_atFullSpeed;
    }
    void end() { --m_inFlight; }
    /** Makes all work that begins from now on take so many times as long. */
    void setSlowness(unsigned times) { m_slowness = times; }

private:
    unsigned m_atFullSpeed;
    unsigned m_inFlight = 0;
    unsigned m_slowness = 1;
};

} // namespace hemlockchute::experiment
