#include "hemlockchute/http/ResponseBufferBudget.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

BOOST_AUTO_TEST_SUITE(ResponseBufferBudgetTests)

BOOST_AUTO_TEST_CASE(responsesAreBoundedIndividuallyAndInTotalAndSmallOnesAreAlwaysGranted)
{
    auto budget = std::make_shared<ResponseBufferBudget>(ResponseBufferBudget::Options { 100, 250, 10 });
    ResponseBufferReservation small(budget);
    {
        ResponseBufferReservation first(budget);
        ResponseBufferReservation second(budget);
        ResponseBufferReservation third(budget);
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
