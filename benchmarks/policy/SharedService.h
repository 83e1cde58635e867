#pragma once

#include "hemlockchute/core/Clock.h"

namespace hemlockchute::experiment {

//==============================================================================
/**
    Models the service times of the weight store and of adapter loads: constant up to a number of
    operations in flight, and proportional to that number beyond it.

    Thread safety: one thread at a time.
*/
class SharedService {
public:
    explicit SharedService(unsigned fullSpeedLimit)
        : m_fullSpeedLimit(fullSpeedLimit)
    {
    }

    /** Starts one operation and returns its duration; end() ends it. */
    Duration begin(Duration unloadedTime)
    {
        ++m_inFlight;
        Duration time = unloadedTime * m_slowdown;
        return m_inFlight <= m_fullSpeedLimit ? time : time * m_inFlight / m_fullSpeedLimit;
    }
    void end() { --m_inFlight; }
    /** Multiplies the duration of all operations that start from now on. */
    void setSlowdown(unsigned factor) { m_slowdown = factor; }

private:
    unsigned m_fullSpeedLimit;
    unsigned m_inFlight = 0;
    unsigned m_slowdown = 1;
};

} // namespace hemlockchute::experiment
