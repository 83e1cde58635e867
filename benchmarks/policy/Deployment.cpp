#include "policy/Deployment.h"

#include <numeric>

namespace hemlockchute::experiment {
namespace {

struct Size {
    unsigned models = 0;
    unsigned adapters = 0;
    unsigned loadsPerSecondPerMille = 0;
};

void declareRanks(Document& document)
{
    const std::vector<RankSpec> specs {
        { rankNames[0], TeamName("counter"), 0, 500, 690ms, 56ms, 5s, 990, 10 },
        { rankNames[1], TeamName("office"), 1, 200, 3s, 100ms, 15s, 950, 3 },
        { rankNames[2], TeamName("desk"), 2, 100, 10s, 200ms, 60s, 900, 1 },
    };
    for (const RankSpec& spec : specs)
        document.ranks[spec.name] = spec;
}

void declareModels(Document& document, unsigned count)
{
    // The most requested 10% of the models may have three replicas, the next 20% two.
    for (unsigned index = 0; index < count; ++index) {
        ModelSpec spec;
        spec.name = Deployment::modelName(index);
        spec.replicas = index * 10 < count ? 3 : (index * 10 < count * 3 ? 2 : 1);
        spec.memory = ByteCount::gibibytes(4 + index * 5 % 9);
        spec.loadTimeFromMemory = 150ms;
        spec.loadTimeFromDisk = 100ms * (spec.memory.value() >> 30U);
        spec.loadTimeFromStore = 400ms * (spec.memory.value() >> 30U);
        document.models[spec.name] = spec;
    }
}

DocumentPointer makeDocument(Size size)
{
    auto document = std::make_shared<Document>();
    declareRanks(*document);
    declareModels(*document, size.models);
    for (unsigned index = 0; index < size.adapters; ++index) {
        AdapterSpec spec;
        spec.name = AdapterName("adapter" + std::to_string(index));
        spec.model = Deployment::modelName(index % size.models);
        spec.memory = ByteCount::mebibytes(64);
        document->adapters[spec.name] = spec;
    }
    document->limits.storeLoadsPerSecondPerMille = size.loadsPerSecondPerMille;
    document->limits.storeLoadsAtOnce = 4;
    document->limits.adaptersInFlight = 32;
    return document;
}

} // namespace

Deployment Deployment::kaskAndParn()
{
    Deployment deployment;
    deployment.name = "Kask & Parn";
    deployment.dataCentres = { DataCentreName("tallinn"), DataCentreName("tartu"), DataCentreName("parnu") };
    deployment.engines = { 7, 7, 6 };
    deployment.adapterCount = 90;
    deployment.document = makeDocument({ 100, 90, 10'000 });
    return deployment;
}

Deployment Deployment::lahore()
{
    Deployment deployment;
    deployment.name = "Lahore";
    deployment.dataCentres = { DataCentreName("lahore"), DataCentreName("multan"), DataCentreName("sialkot") };
    deployment.engines = { 4, 4, 4 };
    deployment.adapterCount = 75;
    deployment.adapterLoadTime = 8ms;
    deployment.networkDelay = 3ms;
    deployment.document = makeDocument({ 65, 75, 3'500 });
    return deployment;
}

unsigned Deployment::slots() const
{
    return slotsPerEngine * std::accumulate(engines.begin(), engines.end(), 0U);
}

} // namespace hemlockchute::experiment
