#include "hemlockchute/state/state.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const DataCentreName tallinn("tallinn");
const DataCentreName tartu("tartu");
const ModelName model("m");

std::string documentOf(unsigned replicas, const std::string& office = "")
{
    return "[[team.counter.models]]\nname = \"m\"\nmemory = \"1GiB\"\nreplicas = " + std::to_string(replicas) + "\n\n[team.office]\n" + office;
}

/** A state machine with its own log indexes and a time that the test sets. */
struct Machine {
    StateMachine state { StateMachine::Options().withMaximumRunBodyBytes(8) };
    WallTime now { 1h };

    template <typename Expected>
    Expected apply(CommandBody body)
    {
        return std::get<Expected>(state.apply(state.lastApplied().next(), { now, std::move(body) }));
    }

    SubmitAnswer submit(const std::string& id, std::uint64_t base, const std::string& text, const Submitter& submitter = { {}, true })
    {
        return apply<SubmitAnswer>(SubmitDocument { SubmitId(id), submitter, DocumentVersion(base), text });
    }

    TermAnswer acquire(const std::string& host, const std::string& attempt, std::vector<HostName> eligibleHosts = { HostName("a"), HostName("b") }, const DataCentreName& dataCentre = tallinn)
    {
        return apply<TermAnswer>(AcquireTerm { dataCentre, HostName(host), attempt, std::move(eligibleHosts) });
    }

    PermitAnswer request(const DataCentreName& dataCentre, unsigned wanted, std::uint64_t fencing = 1, std::uint64_t sequence = 0)
    {
        return apply<PermitAnswer>(RequestPermits { dataCentre, FencingNumber(fencing), model, wanted, sequence });
    }

    PermitAnswer returnPermits(const DataCentreName& dataCentre, unsigned held, std::uint64_t fencing = 1, std::uint64_t sequence = 0)
    {
        return apply<PermitAnswer>(ReturnPermits { dataCentre, FencingNumber(fencing), model, held, sequence });
    }

    RunAnswer claim(const std::string& attempt, const std::string& request = "r")
    {
        return apply<RunAnswer>(ClaimRun { IdempotencyKey("k"), AttemptId(attempt), ServiceName("booking"), Digest::of(request), 1h, 1min });
    }

    RunAnswer outcome(const std::string& attempt, const ByteString& body)
    {
        return apply<RunAnswer>(RecordOutcome { IdempotencyKey("k"), AttemptId(attempt), 200, "text/plain", body, false });
    }

    RunAnswer voidAttempt(const std::string& attempt) { return apply<RunAnswer>(VoidRun { IdempotencyKey("k"), AttemptId(attempt) }); }
    RunAnswer abandon(const std::string& attempt) { return apply<RunAnswer>(AbandonRun { IdempotencyKey("k"), AttemptId(attempt) }); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(StateMachineTests)

BOOST_AUTO_TEST_CASE(submissionsAreAcceptedWholeOrNotAtAll)
{
    using enum SubmitAnswer::Verdict;
    Machine machine;
    Submitter counter { TeamName("counter"), false };
    BOOST_TEST((machine.submit("1", 0, documentOf(2)).verdict == Accepted));
    BOOST_TEST((machine.submit("2", 0, documentOf(3)).verdict == Conflict));
    SubmitAnswer rejected = machine.submit("3", 1, "[[team.counter.models]]\n[[team.office.ranks]]\n");
    BOOST_TEST((rejected.verdict == Rejected));
    BOOST_TEST(rejected.faults.size() == 4U);
    BOOST_TEST((machine.submit("4", 1, documentOf(2, "# changed\n"), counter).verdict == Forbidden));
    BOOST_TEST(machine.state.document()->version == DocumentVersion(1));
    SubmitAnswer accepted = machine.submit("5", 1, documentOf(3), counter);
    BOOST_TEST((accepted.verdict == Accepted && accepted.version == DocumentVersion(2)));
    BOOST_TEST(machine.state.document()->models.at(model).replicas == 3U);
}

BOOST_AUTO_TEST_CASE(aResentSubmissionGetsItsFirstAnswer)
{
    Machine machine;
    SubmitAnswer first = machine.submit("1", 0, documentOf(2));
    SubmitAnswer conflict = machine.submit("2", 0, documentOf(3));
    machine.submit("3", 1, documentOf(4));
    BOOST_TEST((machine.submit("1", 0, documentOf(2)) == first));
    BOOST_TEST((machine.submit("2", 0, documentOf(3)) == conflict));
    BOOST_TEST((machine.submit("1", 0, documentOf(5)).verdict == SubmitAnswer::Verdict::Conflict));
    BOOST_TEST((machine.submit("1", 0, documentOf(2), { TeamName("counter"), false }).verdict == SubmitAnswer::Verdict::Conflict));
    BOOST_TEST(machine.state.document()->version == DocumentVersion(2));
}

//==============================================================================
BOOST_AUTO_TEST_CASE(aTermIsGrantedOnceItsLeaseHasEnded)
{
    Machine machine;
    TermAnswer first = machine.acquire("a", "1");
    BOOST_TEST((first.granted && first.fencing == FencingNumber(1) && first.lease == 5s && first.wait == 0s));
    BOOST_TEST(!machine.acquire("b", "2").granted);
    machine.now += 2s;
    TermAnswer again = machine.acquire("a", "1");
    BOOST_TEST((again.granted && again.fencing == FencingNumber(1) && again.lease == 3s));
    BOOST_TEST(machine.apply<TermAnswer>(RenewTerm { tallinn, HostName("a"), FencingNumber(1), { HostName("a"), HostName("b") } }).granted);
    machine.now += 4s;
    BOOST_TEST((machine.acquire("b", "3").lease == 1s));
    machine.now += 1s;
    TermAnswer second = machine.acquire("b", "4");
    BOOST_TEST((second.granted && second.fencing == FencingNumber(2) && second.wait == 5s));
    BOOST_TEST(!machine.apply<TermAnswer>(RenewTerm { tallinn, HostName("a"), FencingNumber(1), {} }).granted);
    machine.now += 6s;
    BOOST_TEST(machine.acquire("a", "5").granted);
    BOOST_TEST(!machine.apply<TermAnswer>(RenewTerm { tallinn, HostName("a"), FencingNumber(1), {} }).granted);
}

BOOST_AUTO_TEST_CASE(aReleasedTermIsFreeAndItsNumberIsNotUsedAgain)
{
    Machine machine;
    machine.acquire("a", "1");
    machine.apply<TermAnswer>(ReleaseTerm { tallinn, HostName("b"), FencingNumber(1) });
    BOOST_TEST(!machine.acquire("b", "2").granted);
    machine.apply<TermAnswer>(ReleaseTerm { tallinn, HostName("a"), FencingNumber(1) });
    BOOST_TEST(!machine.request(tallinn, 1).accepted);
    TermAnswer next = machine.acquire("c", "3", { HostName("c") });
    BOOST_TEST((next.granted && next.fencing == FencingNumber(2) && next.wait == 0s));
}

BOOST_AUTO_TEST_CASE(aJoiningHostMayTakeTheTermOnlyAfterARenewalThatListsIt)
{
    Machine machine;
    machine.acquire("a", "1");
    machine.now += 6s;
    std::vector<HostName> withC { HostName("a"), HostName("b"), HostName("c") };
    BOOST_TEST(!machine.acquire("c", "2", withC).granted);
    BOOST_TEST(machine.acquire("b", "3", withC).granted);
    machine.now += 6s;
    BOOST_TEST(!machine.acquire("c", "4", withC).granted);
    BOOST_TEST(machine.apply<TermAnswer>(RenewTerm { tallinn, HostName("b"), FencingNumber(2), withC }).granted);
    machine.now += 6s;
    BOOST_TEST(machine.acquire("c", "5", withC).granted);
}

//==============================================================================
BOOST_AUTO_TEST_CASE(permitsNeverExceedTheCapAndALoweredCapGrantsNothingUntilReturns)
{
    Machine machine;
    machine.submit("1", 0, documentOf(3));
    machine.acquire("a", "1");
    machine.acquire("x", "1", { HostName("x") }, tartu);
    BOOST_TEST((machine.request(tallinn, 2) == PermitAnswer { true, 2, 2 }));
    BOOST_TEST((machine.request(tartu, 2) == PermitAnswer { true, 1, 1 }));
    machine.submit("2", 1, documentOf(1));
    BOOST_TEST((machine.request(tartu, 2) == PermitAnswer { true, 1, 0 }));
    BOOST_TEST((machine.request(tallinn, 2) == PermitAnswer { true, 2, 1 }));
    BOOST_TEST((machine.returnPermits(tallinn, 0) == PermitAnswer { true, 0, 0 }));
    BOOST_TEST((machine.request(tallinn, 1) == PermitAnswer { true, 0, 0 }));
    BOOST_TEST((machine.request(tartu, 1) == PermitAnswer { true, 1, 1 }));
    BOOST_TEST((machine.state.permits(tartu) == std::map<ModelName, unsigned> { { model, 1 } }));
}

BOOST_AUTO_TEST_CASE(aStaleTermOrADelayedReturnChangesNoPermits)
{
    Machine machine;
    machine.submit("1", 0, documentOf(3));
    machine.acquire("a", "1");
    machine.request(tallinn, 3, 1, 1);
    machine.returnPermits(tallinn, 1, 1, 2);
    machine.request(tallinn, 3, 1, 3);
    BOOST_TEST((machine.returnPermits(tallinn, 1, 1, 2) == PermitAnswer { true, 3, 3 }));
    machine.now += 6s;
    machine.acquire("b", "2");
    BOOST_TEST((machine.returnPermits(tallinn, 0, 1, 4) == PermitAnswer { false, 3, 3 }));
    BOOST_TEST((machine.returnPermits(tallinn, 2, 2, 1) == PermitAnswer { true, 2, 2 }));
}

//==============================================================================
BOOST_AUTO_TEST_CASE(aKeyRunsOnceAndItsAnswerIsKept)
{
    using enum RunAnswer::State;
    Machine machine;
    BOOST_TEST((machine.claim("1").state == Claimed));
    BOOST_TEST((machine.claim("2").state == InProgress));
    BOOST_TEST((machine.claim("2", "other").state == KeyConflict));
    BOOST_TEST((machine.outcome("2", "no").state == InProgress));
    machine.now += 30s;
    BOOST_TEST((machine.outcome("1", "booked").state == Done));
    BOOST_TEST((machine.outcome("1", "again").body == "booked"));
    BOOST_TEST(machine.claim("3").body == "booked");
    BOOST_TEST((machine.claim("1").state == Done));
    BOOST_TEST((machine.voidAttempt("1").state == Done));
    machine.now += 1h - 1ms;
    BOOST_TEST((machine.claim("4").state == Done));
    machine.now += 1ms;
    BOOST_TEST((machine.claim("5").state == Claimed));
}

BOOST_AUTO_TEST_CASE(aVoidedAttemptNeverClaims)
{
    using enum RunAnswer::State;
    Machine machine;
    BOOST_TEST((machine.voidAttempt("1").state == Void));
    BOOST_TEST((machine.claim("1").state == Void));
    BOOST_TEST((machine.claim("2").state == Claimed));
    BOOST_TEST((machine.voidAttempt("2").state == Void));
    BOOST_TEST((machine.state.run(IdempotencyKey("k")).state == Void));
    BOOST_TEST((machine.claim("2").state == Void));
    BOOST_TEST((machine.claim("3").state == Claimed));
}

BOOST_AUTO_TEST_CASE(aRunWithoutOutcomeIsUnknownAndALongAnswerIsKeptWithoutItsBody)
{
    using enum RunAnswer::State;
    Machine machine;
    machine.claim("1");
    BOOST_TEST((machine.abandon("1").state == OutcomeUnknown));
    BOOST_TEST((machine.voidAttempt("1").state == OutcomeUnknown));
    BOOST_TEST((machine.claim("2").state == OutcomeUnknown));
    RunAnswer late = machine.outcome("1", "more than eight bytes");
    BOOST_TEST((late.state == Done && late.bodyTooLong && late.body.empty()));

    Machine other;
    other.claim("1");
    other.now += 1min;
    BOOST_TEST((other.claim("2").state == OutcomeUnknown));
    BOOST_TEST((other.claim("1").state == OutcomeUnknown));
    BOOST_TEST((other.outcome("1", "booked").state == Done));
}

//==============================================================================
BOOST_AUTO_TEST_CASE(malformedSnapshotsAndCommandsAreRejected)
{
    Machine machine;
    machine.submit("1", 0, documentOf(3));
    ByteString bytes = machine.state.snapshot();
    BOOST_TEST(StateMachine::restore(bytes, {}).has_value());
    BOOST_TEST(!StateMachine::restore(bytes.substr(0, bytes.size() - 8), {}).has_value());
    BOOST_TEST(!StateMachine::restore("", {}).has_value());
    BOOST_TEST(!StateMachine::restore("odd", {}).has_value());
    BOOST_TEST(!decodeCommand(std::string(64, '\xff')).has_value());
}

BOOST_AUTO_TEST_CASE(keysSpreadOverTheShards)
{
    std::map<unsigned, unsigned> counts;
    for (int i = 0; i < 1000; ++i)
        ++counts[runShard(IdempotencyKey("key-" + std::to_string(i)), 4)];
    BOOST_TEST(counts.size() == 4U);
    for (const auto& [shard, count] : counts)
        BOOST_TEST((count > 200 && count < 300));
}

BOOST_AUTO_TEST_SUITE_END()
