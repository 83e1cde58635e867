#include "hemlockchute/fleet/WeightCacheEstimate.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

EngineSpec engineOf(unsigned models)
{
    EngineSpec engine;
    for (unsigned i = 0; i < models; ++i)
        engine.models[ModelName("m" + std::to_string(i))].weights = ByteCount(10);
    return engine;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WeightCacheEstimateTests)

BOOST_AUTO_TEST_CASE(theLeastRecentlyLoadedCopiesAreEvicted)
{
    EngineSpec engine = engineOf(5);
    WeightCacheEstimate cache;
    cache.reset({ ModelName("m0"), ModelName("m1") });
    cache.add(ModelName("m2"), engine, ByteCount(30));
    cache.add(ModelName("m0"), engine, ByteCount(30));
    cache.add(ModelName("m3"), engine, ByteCount(30));
    BOOST_TEST((cache.models() == std::set<ModelName> { ModelName("m0"), ModelName("m2"), ModelName("m3") }));
    cache.remove(ModelName("m2"));
    cache.add(ModelName("m4"), engine, ByteCount(30));
    BOOST_TEST((cache.models() == std::set<ModelName> { ModelName("m0"), ModelName("m3"), ModelName("m4") }));
}

BOOST_AUTO_TEST_CASE(theLastLoadedCopyStaysEvenIfItExceedsTheCapacity)
{
    WeightCacheEstimate cache;
    cache.add(ModelName("m0"), engineOf(2), ByteCount(5));
    cache.add(ModelName("m1"), engineOf(2), ByteCount(5));
    BOOST_TEST((cache.models() == std::set<ModelName> { ModelName("m1") }));
}

BOOST_AUTO_TEST_SUITE_END()
