#include "gateway/AnswerMemory.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

BOOST_AUTO_TEST_SUITE(AnswerMemoryTests)

BOOST_AUTO_TEST_CASE(answersAreBoundedAloneAndTogetherAndSmallOnesFitAlways)
{
    auto memory = std::make_shared<AnswerMemory>(AnswerMemory::Options { 100, 250, 10 });
    HeldAnswer small(memory);
    {
        HeldAnswer first(memory);
        HeldAnswer second(memory);
        HeldAnswer third(memory);
        BOOST_TEST(first.resize(100));
        BOOST_TEST(!first.resize(101));
        BOOST_TEST(first.resize(100));
        BOOST_TEST(second.resize(100));
        BOOST_TEST(!third.resize(60));
        BOOST_TEST(memory->held() == 260U);
        BOOST_TEST(small.resize(10));
        BOOST_TEST(!small.resize(11));
    }
    BOOST_TEST(memory->held() == 11U);
    BOOST_TEST(small.resize(100));
}

BOOST_AUTO_TEST_SUITE_END()
