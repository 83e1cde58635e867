#include "hemlockchute/router/RequestLifecycle.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace hemlockchute;

namespace {

constexpr Duration requestTimeout = 100ms;

Instant start()
{
    return Instant(1h);
}

AttemptId attemptId(unsigned number)
{
    return AttemptId("a" + std::to_string(number));
}

/** Test oracle: the state of a request as it follows from the messages sent and received alone. */
struct Oracle {
    bool isRepeatable = true;
    Instant now = start();
    unsigned attempts = 0;
    /** The attempt in progress. */
    std::optional<unsigned> current;
    /** Attempts that a backend server may have run. */
    unsigned mayHaveRun = 0;
    unsigned tokens = 0;
    unsigned endings = 0;
};

/** Applies events to the lifecycle and checks it against the oracle after each one. */
struct Subject {
    explicit Subject(bool isRepeatable)
        : life(RequestLifecycle::Options().withRepeatable(isRepeatable).withDeadline(start() + requestTimeout))
    {
        oracle.isRepeatable = isRepeatable;
    }

    void begin()
    {
        bool mayBegin = life.begin(attemptId(oracle.attempts + 1), oracle.now);
        if (!mayBegin)
            return;
        RC_ASSERT(oracle.endings == 0U);
        RC_ASSERT(!oracle.current);
        RC_ASSERT(oracle.isRepeatable || oracle.mayHaveRun == 0U);
        RC_ASSERT(oracle.tokens > 0 || oracle.now < start() + requestTimeout);
        oracle.current = ++oracle.attempts;
    }

    void token(unsigned attempt, unsigned index)
    {
        bool passed = life.acceptToken(attemptId(attempt), index);
        RC_ASSERT(passed == (oracle.current == attempt && index == oracle.tokens && oracle.endings == 0));
        if (passed)
            ++oracle.tokens;
    }

    void fail(unsigned attempt, BackendErrorCode code, bool mayRetry)
    {
        bool isCurrent = oracle.current == attempt;
        LifecycleDecision decision = life.fail(attemptId(attempt), code, mayRetry, oracle.now);
        RC_ASSERT((decision.kind == LifecycleDecision::Kind::Ignore) == !isCurrent);
        if (!isCurrent)
            return;
        oracle.current.reset();
        if (!hasCertainlyNotRun(code) || oracle.tokens > 0)
            ++oracle.mayHaveRun;
        RC_ASSERT(decision.kind != LifecycleDecision::Kind::Retry || oracle.isRepeatable || oracle.mayHaveRun == 0U);
        checkDecision(decision);
    }

    void complete(unsigned attempt)
    {
        bool isCurrent = oracle.current == attempt;
        LifecycleDecision decision = life.complete(attemptId(attempt));
        RC_ASSERT((decision.kind == LifecycleDecision::Kind::Complete) == isCurrent);
        checkDecision(decision);
    }

    void expire()
    {
        bool isDue = oracle.endings == 0 && oracle.tokens == 0 && oracle.now >= start() + requestTimeout;
        LifecycleDecision decision = life.expire(oracle.now);
        RC_ASSERT((decision.kind == LifecycleDecision::Kind::Refuse) == isDue);
        checkDecision(decision);
    }

    void checkDecision(LifecycleDecision decision)
    {
        bool isEnd = decision.kind != LifecycleDecision::Kind::Ignore && decision.kind != LifecycleDecision::Kind::Retry;
        RC_ASSERT(isEnd <= (oracle.endings == 0));
        if (isEnd)
            ++oracle.endings;
        RC_ASSERT(life.hasEnded() == (oracle.endings == 1U));
        bool nothingSent = oracle.mayHaveRun == 0 && oracle.tokens == 0 && !oracle.current;
        if (decision.kind == LifecycleDecision::Kind::Refuse)
            RC_ASSERT((decision.outcome == RefusalOutcome::NotRun) == nothingSent);
        if (isEnd)
            oracle.current.reset();
    }

    void applyEvent(unsigned event, unsigned attempt, unsigned detail)
    {
        static constexpr BackendErrorCode codes[] = { BackendErrorCode::NotSent, BackendErrorCode::Lost, BackendErrorCode::TimedOut, BackendErrorCode::Refused, BackendErrorCode::Busy, BackendErrorCode::Malformed };
        unsigned target = attempt == 0 ? oracle.current.value_or(1) : attempt;
        switch (event) {
        case 0:
        case 1:
            return begin();
        case 2:
            return token(target, detail % 2 == 0 ? oracle.tokens : detail);
        case 3:
            return fail(target, codes[detail % std::size(codes)], detail % 4 != 0);
        case 4:
            return complete(target);
        case 5:
            oracle.now += 20ms;
            return expire();
        case 6:
            return checkDecision(life.refuse(503));
        default:
            return checkDecision(life.noteCallerDisconnect());
        }
    }

    RequestLifecycle life;
    Oracle oracle;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestLifecycleTests)

BOOST_AUTO_TEST_CASE(anyEventSequenceEndsARequestOnceWithACorrectOutcome)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=5000", 1);
    bool held = rc::check("a request ends once, by its deadline, and states correctly whether it may have run", [] {
        Subject subject(*rc::gen::arbitrary<bool>());
        // Events that end the request have low weights, so that long sequences are tested too.
        auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
            rc::gen::tuple(rc::gen::weightedElement<unsigned>({ { 8, 0 }, { 8, 1 }, { 8, 2 }, { 8, 3 }, { 1, 4 }, { 3, 5 }, { 1, 6 }, { 1, 7 } }), rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 12U)));
        for (const auto& [event, attempt, detail] : steps)
            subject.applyEvent(event, attempt, detail);
        subject.oracle.now = std::max(subject.oracle.now, start() + requestTimeout);
        subject.expire();
        RC_ASSERT(subject.life.hasEnded() || subject.oracle.tokens > 0);
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(retriesOfWorkThatMayHaveRunAreBounded)
{
    RequestLifecycle life(RequestLifecycle::Options().withDeadline(start() + requestTimeout).withMaximumAttempts(2));
    BOOST_TEST(life.begin(attemptId(1), start()));
    BOOST_TEST((life.fail(attemptId(1), BackendErrorCode::Lost, true, start()).kind == LifecycleDecision::Kind::Retry));
    BOOST_TEST(life.begin(attemptId(2), start()));
    LifecycleDecision decision = life.fail(attemptId(2), BackendErrorCode::Lost, true, start());
    BOOST_TEST((decision == LifecycleDecision { LifecycleDecision::Kind::Refuse, 502, RefusalOutcome::Unknown }));
}

BOOST_AUTO_TEST_CASE(withoutRetryBudgetOnlyAttemptsThatDidNotRunAreRetried)
{
    RequestLifecycle life(RequestLifecycle::Options().withDeadline(start() + requestTimeout));
    BOOST_TEST(life.begin(attemptId(1), start()));
    BOOST_TEST((life.fail(attemptId(1), BackendErrorCode::Busy, false, start()).kind == LifecycleDecision::Kind::Retry));
    BOOST_TEST(life.begin(attemptId(2), start()));
    BOOST_TEST((life.fail(attemptId(2), BackendErrorCode::Lost, false, start()).kind == LifecycleDecision::Kind::Refuse));
}

BOOST_AUTO_TEST_CASE(aRequestThatLosesTwoServersBeforeATokenGoesToNoThird)
{
    RequestLifecycle life(RequestLifecycle::Options().withDeadline(start() + requestTimeout));
    BOOST_TEST(life.begin(attemptId(1), start()));
    BOOST_TEST((life.fail(attemptId(1), BackendErrorCode::Lost, true, start()).kind == LifecycleDecision::Kind::Retry));
    BOOST_TEST(life.begin(attemptId(2), start()));
    LifecycleDecision decision = life.fail(attemptId(2), BackendErrorCode::Lost, true, start());
    BOOST_TEST((decision.kind == LifecycleDecision::Kind::Refuse && decision.outcome == RefusalOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(aStreamThatHasBegunIsResumedAfterLostServers)
{
    RequestLifecycle life(RequestLifecycle::Options().withDeadline(start() + requestTimeout));
    for (unsigned attempt = 1; attempt <= 3; ++attempt) {
        BOOST_TEST(life.begin(attemptId(attempt), start()));
        if (attempt == 1)
            BOOST_TEST(life.acceptToken(attemptId(attempt), 0));
        BOOST_TEST((life.fail(attemptId(attempt), BackendErrorCode::Lost, true, start()).kind == LifecycleDecision::Kind::Retry));
    }
}

BOOST_AUTO_TEST_SUITE_END()
