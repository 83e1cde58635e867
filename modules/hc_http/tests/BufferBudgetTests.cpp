#include "hemlockchute/http/BufferBudget.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

BOOST_AUTO_TEST_SUITE(BufferBudgetTests)

BOOST_AUTO_TEST_CASE(responsesAreBoundedIndividuallyAndInTotalAndSmallOnesAreAlwaysGranted)
{
    auto budget = std::make_shared<BufferBudget>(BufferBudget::Options { 100, 250, 10 });
    BufferReservation small(budget);
    {
        BufferReservation first(budget);
        BufferReservation second(budget);
        BufferReservation third(budget);
        BOOST_TEST(first.resize(100));
        BOOST_TEST(!first.resize(101));
        BOOST_TEST(first.resize(100));
        BOOST_TEST(second.resize(100));
        BOOST_TEST(!third.resize(60));
        BOOST_TEST(budget->reservedBytes() == 260U);
        BOOST_TEST(small.resize(10));
        BOOST_TEST(!small.resize(11));
    }
    BOOST_TEST(budget->reservedBytes() == 11U);
    BOOST_TEST(small.resize(100));
}

BOOST_AUTO_TEST_SUITE_END()
