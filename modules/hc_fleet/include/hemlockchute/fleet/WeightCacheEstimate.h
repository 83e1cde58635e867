#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/fleet/RouteConfiguration.h"

#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Estimates which models' weights a server caches in its memory or on its disk, without asking it:
    each load leaves a copy, and the least recently used copies are evicted.

    Thread safety: one thread at a time.
*/
class WeightCacheEstimate {
public:
    /** Sets the copies that the server reported; their order of use is unknown. */
    void reset(const std::set<ModelName>&);
    /** Records a load into a cache of this capacity, evicting other copies, least recently used first, until the rest fits or only this one is left. */
    void add(const ModelName&, const EngineSpec&, ByteCount capacity);
    /** Records that there is no copy. */
    void remove(const ModelName&);

    const std::set<ModelName>& models() const { return m_models; }

private:
    std::set<ModelName> m_models;
    /** From least to most recently used. */
    std::vector<ModelName> m_order;
};

} // namespace hemlockchute
