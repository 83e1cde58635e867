#include "Property.h"
#include "hemlockchute/policy/EjectionTable.h"
#include "hemlockchute/policy/RetryBudget.h"

#include <algorithm>

using namespace hemlockchute;

namespace {

constexpr unsigned serverCount = 6;

std::vector<BackendServerName> servers(unsigned mask)
{
    std::vector<BackendServerName> names;
    for (unsigned index = 0; index < serverCount; ++index) {
        if ((mask >> index) & 1U)
            names.emplace_back("s" + std::to_string(index));
    }
    return names;
}

/** The consecutive failures of a server, and the time of the last one. */
struct ServerHistory {
    unsigned failures = 0;
    Instant lastFailure {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RetryFuzz)

BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudget)
{
    checkProperty([] {
        auto share = *rc::gen::inRange(0U, 1001U);
        auto maximumTokens = *rc::gen::inRange(0U, 20U);
        auto successes = *rc::gen::scale(5.0, rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>()));
        RetryBudget budget(RetryBudget::Options().withRetriesPerSuccessPerMille(share).withMaximumTokens(maximumTokens));
        std::uint64_t earned = maximumTokens * 1000ULL;
        for (bool isSuccess : successes) {
            if (isSuccess) {
                budget.noteSuccess();
                earned = std::min<std::uint64_t>(earned + share, maximumTokens * 1000ULL);
                continue;
            }
            bool mayRetry = earned >= 1000;
            RC_ASSERT(budget.tryTake() == mayRetry);
            earned -= mayRetry ? 1000 : 0;
        }
    },
        300);
}

BOOST_AUTO_TEST_CASE(backoffStaysWithinItsBounds)
{
    checkProperty([] {
        RetryBudget budget { RetryBudget::Options() };
        auto retry = *rc::gen::inRange(1U, 100U);
        Duration pause = budget.backoff(retry, *rc::gen::arbitrary<std::uint64_t>());
        RC_ASSERT((pause >= 0ms && pause <= 1s));
        RC_ASSERT((retry > 6 || pause <= 10ms * (1 << (retry - 1))));
    },
        300);
}

BOOST_AUTO_TEST_CASE(ejectionKeepsTheMinimumShareOfServersUsable)
{
    checkProperty([] {
        auto minimumUsable = *rc::gen::inRange(0U, 1001U);
        EjectionTable table(EjectionTable::Options().withMinimumUsablePerMille(minimumUsable));
        std::map<BackendServerName, ServerHistory> history;
        Instant now { 1h };
        auto steps = *rc::gen::scale(3.0, rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(rc::gen::pair(rc::gen::inRange(0U, serverCount), rc::gen::inRange(0U, 10U))));
        for (const auto& [server, action] : steps) {
            BackendServerName name("s" + std::to_string(server));
            now += std::chrono::milliseconds(action * 100);
            if (action < 7) {
                table.noteFailure(name, now);
                ++history[name].failures;
                history[name].lastFailure = now;
            } else if (action == 7) {
                table.forget(name);
                history.erase(name);
            } else {
                table.noteSuccess(name);
                history.erase(name);
            }
            auto given = servers(*rc::gen::inRange(0U, 1U << serverCount));
            auto usable = table.usable(given, now);
            RC_ASSERT(usable.size() * 1000 >= given.size() * minimumUsable);
            RC_ASSERT(usable.empty() == given.empty());
            RC_ASSERT(std::includes(given.begin(), given.end(), usable.begin(), usable.end()));
            for (const BackendServerName& candidate : given) {
                auto known = history.find(candidate);
                bool hasFailedOften = known != history.end() && known->second.failures >= 3;
                bool isUsable = std::binary_search(usable.begin(), usable.end(), candidate);
                RC_ASSERT(hasFailedOften || isUsable);
                // No ejection lasts longer than a minute.
                RC_ASSERT(isUsable || now < known->second.lastFailure + 60s);
            }
            bool hasSpareServers = usable.size() > 1 && (usable.size() - 1) * 1000 >= given.size() * minimumUsable;
            auto own = history.find(name);
            bool isJustEjected = own != history.end() && own->second.failures == 3;
            if (hasSpareServers && isJustEjected)
                RC_ASSERT(!std::binary_search(usable.begin(), usable.end(), name));
        }
    },
        500);
}

BOOST_AUTO_TEST_CASE(ejectionTimeDoublesOnRepeatedFailure)
{
    EjectionTable table(EjectionTable::Options().withConsecutiveFailures(2).withMinimumUsablePerMille(0));
    auto all = servers(3);
    Instant now { 1h };
    table.noteFailure(all[0], now);
    BOOST_TEST(table.usable(all, now).size() == 2U);
    table.noteFailure(all[0], now);
    BOOST_TEST(table.usable(all, now + 1999ms).size() == 1U);
    BOOST_TEST(table.usable(all, now + 2s).size() == 2U);
    table.noteFailure(all[0], now + 2s);
    BOOST_TEST(table.usable(all, now + 5999ms).size() == 1U);
    BOOST_TEST(table.usable(all, now + 6s).size() == 2U);
    table.noteSuccess(all[0]);
    table.noteFailure(all[0], now + 7s);
    BOOST_TEST(table.usable(all, now + 7s).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
