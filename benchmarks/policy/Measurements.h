#pragma once

#include "policy/Workload.h"

#include <array>
#include <vector>

namespace hemlockchute::experiment {

//==============================================================================
/** What came of the requests of one run. Thread safety: one thread at a time. */
class Measurements {
public:
    explicit Measurements(const Document&);

    /** A request's first token came so long after its arrival. */
    void recordFirstToken(const Arrival&, bool wasCold, Duration wait);
    /** A request was refused, at once or when its deadline came. */
    void recordRefusal(const Arrival&, bool wasCold);
    /** A request got that much service time, begun at that time of the run. */
    void recordService(const Arrival&, Duration startTime);
    void recordLoad(bool isFromStore)
    {
        ++m_loads;
        m_storeLoads += isFromStore ? 1 : 0;
    }
    void recordIdle(double acceleratorHours) { m_idleAcceleratorHours += acceleratorHours; }
    /** Takes in another run's counts. */
    void merge(const Measurements&);

    //==============================================================================
    std::size_t coldStarts() const { return m_coldStarts.size(); }
    /** A quantile of the time from arrival to first token of requests that found their model not loaded. */
    double coldStartSeconds(double quantile) const;
    /** Share of a rank's requests with the first token within target, over the whole run or the trouble alone. */
    double withinTarget(unsigned rank, bool duringDisturbance) const;
    /** The same among requests whose model was loaded when they came. */
    double withinTargetWarm(unsigned rank, bool duringDisturbance) const;
    /** A rank's share of service time during the trouble over what it was due: its floor, or its demand when lower. */
    double floorFraction(unsigned rank) const;
    double loadsPerRequest() const;
    /** Share of all loads that came from the weight store. */
    double storeShare() const;
    double idleAcceleratorHours() const { return m_idleAcceleratorHours; }

private:
    struct RankCounts {
        std::array<std::size_t, 2> requests {};
        std::array<std::size_t, 2> withinTarget {};
        std::array<std::size_t, 2> warm {};
        std::array<std::size_t, 2> warmWithinTarget {};
        Duration offeredDuringDisturbance {};
        Duration servedDuringDisturbance {};
        unsigned floorPerMille = 0;
        Duration target {};
        Duration longestWait {};
    };

    void recordRequest(const Arrival&, bool wasCold, bool isWithinTarget);
    static bool isMeasured(const Arrival&);
    static bool isDuringDisturbance(Duration when);

    std::array<RankCounts, 3> m_ranks;
    std::vector<Duration> m_coldStarts;
    std::size_t m_loads = 0;
    std::size_t m_storeLoads = 0;
    std::size_t m_served = 0;
    double m_idleAcceleratorHours = 0;
};

} // namespace hemlockchute::experiment
