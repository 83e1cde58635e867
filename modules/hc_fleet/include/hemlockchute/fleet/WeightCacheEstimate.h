#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/fleet/RouteConfiguration.h"

#include <set>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    The copies of weights that a server keeps in its memory or on its disk, as far as can be known
    without asking: each load leaves one, and the least recently used make way.

    Thread safety: one thread at a time.
*/
class WeightCacheEstimate {
public:
    /** Takes what the server said; nothing is known of the order. */
    void reset(const std::set<ModelName>&);
    /** Notes that a model was loaded, on a shelf with room for so many bytes. */
    void add(const ModelName&, const EngineSpec&, ByteCount capacity);
    /** Notes that there is no copy after all. */
    void remove(const ModelName&);

    const std::set<ModelName>& models() const { return m_models; }

private:
    std::set<ModelName> m_models;
    /** The least recently used first. */
    std::vector<ModelName> m_order;
};

} // namespace hemlockchute
