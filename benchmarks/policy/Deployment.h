#pragma once

#include "hemlockchute/document/Document.h"

#include <string>
#include <vector>

namespace hemlockchute::experiment {

/** Names of the three ranks, most urgent first. */
inline const std::vector<RankName> rankNames { RankName("urgent"), RankName("middle"), RankName("patient") };

//==============================================================================
/**
    One of the two simulated deployments at its current size, with the document it declares.

    Thread safety: immutable after construction.
*/
struct Deployment {
    std::string name;
    std::vector<DataCentreName> dataCentres;
    /** Engines in each data centre. */
    std::vector<unsigned> engines;
    unsigned slotsPerEngine = 8;
    ByteCount engineMemory = ByteCount::gibibytes(40);
    unsigned adapterCount = 0;
    Duration adapterLoadTime = 5ms;
    /** One-way delay between data centres. */
    Duration networkDelay = 4ms;
    DocumentPointer document;

    static Deployment kaskAndParn();
    static Deployment lahore();

    unsigned slots() const;
    /** Returns the rank of most requests for a model. */
    static const RankName& rankOf(unsigned modelIndex) { return rankNames[modelIndex % rankNames.size()]; }
    static ModelName modelName(unsigned modelIndex) { return ModelName("model" + std::to_string(modelIndex)); }
};

} // namespace hemlockchute::experiment
