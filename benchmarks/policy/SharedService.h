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
    explicit SharedService(unsigned fullSpeedLimit)
        : m_fullSpeedLimit(fullSpeedLimit)
    {
    }

    /** Begins one piece of work and returns how long it takes. */
    Duration begin(Duration unloadedTime)
    {
        ++m_inFlight;
        Duration time = unloadedTime * m_slowdown;
        return m_inFlight <= m_fullSpeedLimit ? time : time * m_inFlight / m_fullSpeedLimit;
    }
    void end() { --m_inFlight; }
    /** Makes all work that begins from now on take so many times as long. */
    void setSlowdown(unsigned factor) { m_slowdown = factor; }

private:
    unsigned m_fullSpeedLimit;
    unsigned m_inFlight = 0;
    unsigned m_slowdown = 1;
};

} // namespace hemlockchute::experiment
