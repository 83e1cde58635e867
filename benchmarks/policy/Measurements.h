#pragma once

#include "policy/Workload.h"

#include <array>
#include <vector>

namespace hemlockchute::experiment {

//==============================================================================
/** Collects the results of the requests of one run. Thread safety: one thread at a time. */
class Measurements {
public:
    explicit Measurements(const Document&);

    /** Records the time from a request's arrival to its first token. */
    void recordFirstToken(const Arrival&, bool wasCold, Duration wait);
    /** Records a refusal, on arrival or at the deadline. */
    void recordRefusal(const Arrival&, bool wasCold);
    /** Records a request's service time, started at the given time of the run. */
    void recordService(const Arrival&, Duration startTime);
    void recordLoad(bool isFromStore)
    {
        ++m_loads;
        m_storeLoads += isFromStore ? 1 : 0;
    }
    void recordIdle(double acceleratorHours) { m_idleAcceleratorHours += acceleratorHours; }
    /** Adds the counts of another run. */
    void merge(const Measurements&);

    //==============================================================================
    std::size_t coldStarts() const { return m_coldStarts.size(); }
    /** Returns a quantile of the time to first token of requests whose model was not loaded on arrival. */
    double coldStartSeconds(double quantile) const;
    /** Returns the fraction of a rank's requests with the first token within target, in the whole run or during the disturbance only. */
    double withinTarget(unsigned rank, bool duringDisturbance) const;
    /** As withinTarget(), but only for requests whose model was loaded on arrival. */
    double withinTargetWarm(unsigned rank, bool duringDisturbance) const;
    /** Returns a rank's service time during the disturbance, divided by its floor, or by its demand if that is lower. */
    double floorFraction(unsigned rank) const;
    double loadsPerRequest() const;
    /** Returns the fraction of loads that came from the weight store. */
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
