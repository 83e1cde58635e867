#include "Property.h"
#include "hemlockchute/policy/RateShare.h"

#include <algorithm>
#include <array>

using namespace hemlockchute;

namespace {

constexpr std::size_t dataCentreCount = 3;
constexpr Duration lease = 5s;
constexpr std::array<int, dataCentreCount> clockDriftPerMille { 0, 20, -20 };

struct Step {
    enum class Kind {
        Send,
        Deliver,
        DeliverAgain,
        Drop,
        Advance,
        Restart,
        SetDemand,
        SetLimit
    };

    Kind kind = Kind::Send;
    unsigned first = 0;
    unsigned second = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    static constexpr std::array names { "send", "deliver", "again", "drop", "advance", "restart", "demand", "limit" };
    return stream << names.at(static_cast<std::size_t>(step.kind)) << '(' << step.first << ',' << step.second << ')';
}

rc::Gen<Step> anyStep()
{
    using Kind = Step::Kind;
    auto kind = rc::gen::weightedElement<Kind>({ { 12, Kind::Send }, { 10, Kind::Deliver }, { 2, Kind::DeliverAgain },
        { 2, Kind::Drop }, { 8, Kind::Advance }, { 1, Kind::Restart }, { 4, Kind::SetDemand }, { 1, Kind::SetLimit } });
    auto number = rc::gen::inRange(0U, 1000U);
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind), rc::gen::set(&Step::first, number), rc::gen::set(&Step::second, number));
}

std::vector<DataCentreName> dataCentres()
{
    return { DataCentreName("a"), DataCentreName("b"), DataCentreName("c") };
}

/** Three data centres with drifting clocks, and a network that loses, duplicates and reorders messages. */
class SharedLimitSimulation {
public:
    SharedLimitSimulation(std::uint64_t limit, std::uint64_t granularity)
        : m_granularity(granularity)
    {
        m_limits.fill(limit);
        m_pastLimits.emplace_back(m_now, limit);
        for (std::size_t index = 0; index < dataCentreCount; ++index)
            start(index);
    }

    void run(const Step& step)
    {
        std::size_t index = step.first % dataCentreCount;
        switch (step.kind) {
        case Step::Kind::Send:
            return send(index, (index + 1 + step.second % (dataCentreCount - 1)) % dataCentreCount);
        case Step::Kind::Deliver:
            return deliver(step.first, true);
        case Step::Kind::DeliverAgain:
            return deliver(step.first, false);
        case Step::Kind::Drop:
            return drop(step.first);
        case Step::Kind::Advance:
            m_now += std::chrono::milliseconds(step.first * 2);
            return;
        case Step::Kind::Restart:
            return start(index);
        case Step::Kind::SetDemand:
            return m_shares.at(index).setDemand(step.second % 12);
        case Step::Kind::SetLimit:
            return setLimit(index, 1000 * (1 + step.second % 15));
        }
    }

    void checkSum() const
    {
        std::uint64_t sum = 0;
        for (std::size_t index = 0; index < dataCentreCount; ++index)
            sum += m_shares.at(index).allowed(localNow(index));
        RC_ASSERT(sum <= highestRecentLimit());
    }

    std::uint64_t allowed(std::size_t index) const { return m_shares.at(index).allowed(localNow(index)); }

private:
    struct Message {
        std::size_t from = 0;
        std::size_t to = 0;
        ShareReport report;
    };

    Instant localNow(std::size_t index) const
    {
        Duration drifted = m_now.time_since_epoch() * (1000 + clockDriftPerMille.at(index)) / 1000;
        return Instant(drifted + 17min * static_cast<int>(index));
    }

    void start(std::size_t index)
    {
        m_startCount += 1;
        auto options = RateShare::Options().withLease(lease).withGranularity(m_granularity).withReportsAfter(ShareReportNumber(m_startCount * 100'000));
        m_shares.insert_or_assign(index, RateShare(m_limits.at(index), dataCentres().at(index), dataCentres(), options));
    }

    void send(std::size_t from, std::size_t to)
    {
        m_network.push_back({ from, to, m_shares.at(from).report(dataCentres().at(to), localNow(from)) });
    }

    void deliver(unsigned number, bool once)
    {
        if (m_network.empty())
            return;
        // Three out of four messages are delivered in order.
        std::size_t position = number % 4 == 0 ? number % m_network.size() : 0;
        Message message = m_network[position];
        if (once)
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(position));
        m_shares.at(message.to).receive(dataCentres().at(message.from), message.report, localNow(message.to));
    }

    void drop(unsigned number)
    {
        if (!m_network.empty())
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(number % m_network.size()));
    }

    void setLimit(std::size_t index, std::uint64_t limit)
    {
        m_pastLimits.emplace_back(m_now, highestCurrentLimit());
        m_limits.at(index) = limit;
        m_pastLimits.emplace_back(m_now, highestCurrentLimit());
        m_shares.at(index).setLimit(limit);
    }

    std::uint64_t highestCurrentLimit() const { return *std::max_element(m_limits.begin(), m_limits.end()); }

    /** The highest limit that was in force at any data centre within the last two leases. */
    std::uint64_t highestRecentLimit() const
    {
        std::uint64_t highest = highestCurrentLimit();
        for (const auto& [when, limit] : m_pastLimits) {
            if (when + 2 * lease >= m_now)
                highest = std::max(highest, limit);
        }
        return highest;
    }

    Instant m_now { 1h };
    std::uint64_t m_granularity;
    std::uint64_t m_startCount = 0;
    std::array<std::uint64_t, dataCentreCount> m_limits {};
    std::vector<std::pair<Instant, std::uint64_t>> m_pastLimits;
    std::map<std::size_t, RateShare> m_shares;
    std::vector<Message> m_network;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RateShareFuzz)

BOOST_AUTO_TEST_CASE(sumOfSharesNeverExceedsTheLimit)
{
    checkProperty([] {
        auto limit = *rc::gen::inRange<std::uint64_t>(0, 12'000);
        auto granularity = *rc::gen::element<std::uint64_t>(1, 1000);
        auto steps = *rc::gen::scale(4.0, rc::gen::container<std::vector<Step>>(anyStep()));
        SharedLimitSimulation simulation(limit, granularity);
        for (const Step& step : steps) {
            simulation.run(step);
            simulation.checkSum();
        }
    },
        1000);
}

BOOST_AUTO_TEST_CASE(loansFollowDemandAndExpireDuringAPartition)
{
    SharedLimitSimulation simulation(9000, 1);
    simulation.run({ Step::Kind::SetDemand, 0, 9 });
    auto exchange = [&](bool isPartitioned) {
        for (unsigned from = 0; from < dataCentreCount; ++from) {
            for (unsigned to = 0; to < dataCentreCount - 1; ++to)
                simulation.run({ Step::Kind::Send, from, to });
        }
        for (unsigned message = 0; message < dataCentreCount * (dataCentreCount - 1); ++message)
            simulation.run({ isPartitioned ? Step::Kind::Drop : Step::Kind::Deliver, 1, 0 });
        simulation.run({ Step::Kind::Advance, 500, 0 });
    };
    exchange(false);
    BOOST_TEST(simulation.allowed(0) == 1500U);
    for (int round = 0; round < 8; ++round)
        exchange(false);
    BOOST_TEST(simulation.allowed(0) == 6000U);
    BOOST_TEST(simulation.allowed(1) == 1500U);
    for (int round = 0; round < 6; ++round)
        exchange(true);
    for (std::size_t index = 0; index < dataCentreCount; ++index)
        BOOST_TEST(simulation.allowed(index) == 3000U);
}

BOOST_AUTO_TEST_CASE(restartedLenderLendsNothingUntilItsOldLoansExpire)
{
    std::vector<DataCentreName> names = dataCentres();
    Instant now { 1h };
    RateShare oldLender(9000, names[0], names);
    RateShare first(9000, names[1], names);
    RateShare second(9000, names[2], names);
    auto exchange = [&](RateShare& lender, RateShare& borrower, const DataCentreName& name) {
        lender.receive(name, borrower.report(names[0], now), now);
        borrower.receive(names[0], lender.report(name, now), now);
    };
    first.setDemand(9);
    exchange(oldLender, first, names[1]);
    now += lease;
    exchange(oldLender, first, names[1]);
    BOOST_TEST(first.allowed(now) == 4500U);

    auto options = RateShare::Options().withReportsAfter(ShareReportNumber(1000));
    RateShare newLender(9000, names[0], names, options);
    second.setDemand(9);
    exchange(newLender, second, names[2]);
    exchange(newLender, second, names[2]);
    BOOST_TEST(second.allowed(now) == 1500U);
    BOOST_TEST(newLender.allowed(now) == 1500U);
    now += lease;
    exchange(newLender, second, names[2]);
    BOOST_TEST(second.allowed(now) == 4500U);
}

BOOST_AUTO_TEST_CASE(sameCapacityIsNotLentTwice)
{
    std::vector<DataCentreName> names = dataCentres();
    Instant now { 1h };
    RateShare lender(9000, names[0], names);
    RateShare first(9000, names[1], names);
    RateShare second(9000, names[2], names);
    auto exchange = [&](RateShare& borrower, const DataCentreName& name) {
        lender.receive(name, borrower.report(names[0], now), now);
        borrower.receive(names[0], lender.report(name, now), now);
    };
    exchange(first, names[1]);
    exchange(second, names[2]);
    now += lease;
    first.setDemand(9);
    exchange(first, names[1]);
    first.setDemand(0);
    second.setDemand(9);
    lender.receive(names[1], first.report(names[0], now), now);
    exchange(second, names[2]);
    std::uint64_t sum = lender.allowed(now) + first.allowed(now) + second.allowed(now);
    BOOST_TEST(sum <= 9000U);
    BOOST_TEST(first.allowed(now) == 4500U);
    BOOST_TEST(second.allowed(now) == 3000U);
}

BOOST_AUTO_TEST_CASE(borrowerWithASlowClockStopsBeforeTheLoanEnds)
{
    std::vector<DataCentreName> names = dataCentres();
    Instant start { 1h };
    RateShare lender(9000, names[0], names);
    RateShare borrower(9000, names[1], names);
    borrower.setDemand(9);
    lender.receive(names[1], borrower.report(names[0], start), start);
    Instant now = start + lease;
    lender.receive(names[1], borrower.report(names[0], now), now);
    borrower.receive(names[0], lender.report(names[1], now), now);
    BOOST_TEST(borrower.allowed(now) == 4500U);
    // The lease has ended on the lender's clock, and 96 percent of it has passed on the borrower's.
    BOOST_TEST(lender.allowed(now + lease) == 3000U);
    BOOST_TEST(borrower.allowed(now + lease * 96 / 100) == 3000U);
}

BOOST_AUTO_TEST_CASE(limitWithAGranularityIsSplitInWholeUnits)
{
    auto allowedOf = [](const char* name) {
        return RateShare(4000, DataCentreName(name), dataCentres(), RateShare::Options().withGranularity(1000)).guaranteed();
    };
    BOOST_TEST(allowedOf("a") == 1000U);
    BOOST_TEST(allowedOf("b") == 1000U);
    BOOST_TEST(allowedOf("c") == 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
