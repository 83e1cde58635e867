#include "controller/ControllerMessages.h"
#include "controller/PermitLedger.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hemlockchute;

namespace {

OrderRecord someRecord()
{
    EngineOrder order;
    order.id = OrderId("o-1");
    order.fencing = FencingNumber(3);
    order.kind = OrderKind::LoadAdapter;
    order.model = ModelName("m");
    order.adapter = AdapterName("a");
    order.source = LoadSource::Disk;
    order.memory = ByteCount::mebibytes(5);
    return { FencingNumber(3), 9, { { BackendServerName("e"), order } } };
}

const ModelName model("m");

} // namespace

BOOST_AUTO_TEST_SUITE(ControllerPartsTests)

BOOST_AUTO_TEST_CASE(OrderRecordsSurviveTheWireAndMutationsBreakNothing)
{
    ByteString bytes = encodeOrderRecord(someRecord());
    BOOST_CHECK(decodeOrderRecord(bytes).value() == someRecord());
    std::mt19937 random(5);
    for (int i = 0; i < 3000; ++i) {
        ByteString changed = bytes;
        changed[random() % changed.size()] = static_cast<char>(random());
        (void)decodeOrderRecord(changed);
        (void)decodeShareMessage(changed);
        (void)decodePromiseRequest(changed);
    }
}

BOOST_AUTO_TEST_CASE(SharesAndPromisesSurviveTheWire)
{
    ShareMessage shares { DataCentreName("d"), true, HostName("h"), { { 1, 2, ShareReportNumber(3), ShareReportNumber(4), 5 } } };
    auto read = decodeShareMessage(encodeShareMessage(shares));
    BOOST_REQUIRE(read);
    BOOST_TEST(read->reports.size() == 1U);
    BOOST_TEST(read->reports[0].lent == 5U);
    BOOST_TEST(read->leader == HostName("h"));
    BOOST_TEST(decodePromiseRequest(encodePromiseRequest({ FencingNumber(2), 5s, true }))->isReleased);
    BOOST_TEST(!decodePromiseRequest(encodePromiseRequest({ FencingNumber(2), -5s, false })).has_value());
    BOOST_TEST(decodePromiseReply(encodePromiseReply({ true }))->isPromised);
}

BOOST_AUTO_TEST_CASE(PermitsCountOnlyWhenAnsweredAndAreGoneOnceGivenBack)
{
    PermitLedger ledger(DataCentreName("d"), FencingNumber(1));
    auto request = ledger.request(model, 2);
    BOOST_REQUIRE(request);
    BOOST_TEST(ledger.usable(model) == 0U);
    BOOST_TEST(!ledger.request(model, 3).has_value());
    ledger.answered(model, { true, 2, 1 });
    BOOST_TEST(ledger.held(model) == 2U);
    BOOST_TEST(ledger.usable(model) == 1U);
    auto back = ledger.giveBack(model, 1);
    BOOST_REQUIRE(back);
    BOOST_TEST(back->sequence > request->sequence);
    ledger.failed(model);
    BOOST_TEST(ledger.held(model) == 1U);
}

BOOST_AUTO_TEST_CASE(AStaleTermGetsNoPermits)
{
    PermitLedger ledger(DataCentreName("d"), FencingNumber(1));
    ledger.request(model, 2);
    ledger.answered(model, { false, 2, 2 });
    BOOST_TEST(ledger.usable(model) == 0U);
    BOOST_TEST(!ledger.isKnown(model));
}

BOOST_AUTO_TEST_SUITE_END()
