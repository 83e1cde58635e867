#include "FuzzSteps.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const IdempotencyKey key("k");
constexpr std::chrono::milliseconds retention = 100s;
constexpr std::chrono::milliseconds outcomeTimeout = 20s;
constexpr std::size_t maximumBodyBytes = 16;

/** One router's attempt to run the call that the key identifies. */
struct Attempt {
    AttemptId id;
    unsigned request = 0;
    WallTime startedAt;
    /** False once the router gave up before it learned of its claim; it then never runs the call. */
    bool mayRun = true;
    bool hasRun = false;
    bool hasReceivedVoid = false;

    ByteString body() const { return ByteString(request == 0 ? 20 : 8, 'a') + id.text(); }
};

/**
    Routers claim, run, record, void and abandon a call, while commands are reordered, duplicated
    and lost.

    No second run starts within the retention, an attempt that was answered with Void never runs,
    and every answer in the state Done holds the outcome of the last run.
*/
class RunRecordSimulation {
public:
    void perform(const FuzzStep& step)
    {
        switch (step.action % 12) {
        case 0:
        case 1:
            start(step.argument % 3);
            break;
        case 2:
        case 3:
        case 4:
        case 5:
        case 6:
            deliver(step.argument, step.modifier);
            break;
        case 7:
        case 8:
            end(step.actor, step.modifier);
            break;
        case 9:
            m_machine.time += std::chrono::milliseconds(step.argument * 8);
            break;
        case 10:
            m_machine.time += std::chrono::milliseconds(step.modifier % 10 == 0 ? step.argument * 200 : 0);
            break;
        default:
            m_machine.restart();
        }
    }

private:
    struct InFlight {
        std::size_t attempt;
        CommandBody body;
    };

    void start(unsigned request)
    {
        Attempt attempt;
        attempt.id = AttemptId(std::to_string(m_attempts.size()));
        attempt.request = request;
        attempt.startedAt = m_machine.time;
        m_network.push_back({ m_attempts.size(), ClaimRun { key, attempt.id, ServiceName("s"), digestOf(request), retention, outcomeTimeout } });
        m_attempts.push_back(attempt);
    }

    static Digest digestOf(unsigned request) { return Digest::of(std::to_string(request / 2)); }

    /** The router records the outcome of its run, abandons it, or gives up before it started. */
    void end(unsigned index, unsigned modifier)
    {
        if (m_attempts.empty())
            return;
        std::size_t at = index % m_attempts.size();
        Attempt& attempt = m_attempts[at];
        if (!attempt.hasRun) {
            attempt.mayRun = false;
            m_network.push_back({ at, VoidRun { key, attempt.id } });
        } else if (modifier % 3 == 0) {
            m_network.push_back({ at, AbandonRun { key, attempt.id } });
        } else {
            m_network.push_back({ at, RecordOutcome { key, attempt.id, 200, "text/plain", attempt.body(), false } });
        }
    }

    void deliver(unsigned index, unsigned modifier)
    {
        if (m_network.empty())
            return;
        std::size_t at = index % m_network.size();
        InFlight message = m_network[at];
        bool isRepeated = modifier % 4 == 0;
        if (!isRepeated)
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(at));
        auto answer = m_machine.apply<RunAnswer>(message.body);
        bool isLost = modifier % 5 == 1;
        if (!isLost)
            receive(m_attempts[message.attempt], message.body, answer);
        checkAnswer(m_attempts[message.attempt], message.body, answer);
    }

    void receive(Attempt& attempt, const CommandBody& body, const RunAnswer& answer)
    {
        if (answer.state == RunAnswer::State::Void)
            attempt.hasReceivedVoid = true;
        RC_ASSERT(!(attempt.hasReceivedVoid && attempt.hasRun));
        RC_ASSERT(!(attempt.hasReceivedVoid && answer.state == RunAnswer::State::Claimed));
        bool isClaim = std::holds_alternative<ClaimRun>(body);
        bool isInTime = m_machine.time < attempt.startedAt + outcomeTimeout;
        bool runs = isClaim && answer.state == RunAnswer::State::Claimed && attempt.mayRun && isInTime && !attempt.hasRun;
        if (!runs)
            return;
        // The key allows one run: no other may start within the retention.
        RC_ASSERT(!m_lastRun || m_machine.time >= m_lastRunAt + retention - outcomeTimeout);
        attempt.hasRun = true;
        m_lastRun = &attempt - m_attempts.data();
        m_lastRunAt = m_machine.time;
    }

    void checkAnswer(const Attempt& requester, const CommandBody& body, const RunAnswer& answer) const
    {
        if (answer.state != RunAnswer::State::Done)
            return;
        RC_ASSERT(m_lastRun.has_value());
        const Attempt& ran = m_attempts[static_cast<std::size_t>(*m_lastRun)];
        RC_ASSERT(ran.hasRun);
        bool isTooLong = ran.body().size() > maximumBodyBytes;
        RC_ASSERT(answer.bodyTooLong == isTooLong);
        RC_ASSERT(answer.body == (isTooLong ? ByteString() : ran.body()));
        bool isClaim = std::holds_alternative<ClaimRun>(body);
        RC_ASSERT(!isClaim || digestOf(requester.request) == digestOf(ran.request));
    }

    FuzzedMachine m_machine { StateMachine::Options().withMaximumRunBodyBytes(maximumBodyBytes) };
    std::vector<Attempt> m_attempts;
    std::vector<InFlight> m_network;
    std::optional<std::ptrdiff_t> m_lastRun;
    WallTime m_lastRunAt;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RunFuzzTests)

BOOST_AUTO_TEST_CASE(aKeyRunsAtMostOnceAndAVoidedAttemptNeverRuns)
{
    BOOST_TEST(rc::check("run records with crossing resends", [] {
        RunRecordSimulation simulation;
        for (const FuzzStep& step : *fuzzSteps())
            simulation.perform(step);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
