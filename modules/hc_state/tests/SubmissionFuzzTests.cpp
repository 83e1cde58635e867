#include "FuzzSteps.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

/** The replica count that each team's section declares; `absent` for no section, `faulty` for an invalid one. */
using Sections = std::map<std::string, unsigned>;
constexpr unsigned absent = 0;
constexpr unsigned faulty = 4;

std::string textOf(const Sections& sections)
{
    std::string text;
    for (const auto& [team, value] : sections) {
        if (value == absent)
            continue;
        text.append("[[team.").append(team).append(".models]]\nname = \"").append(team).append("\"\n");
        text.append("replicas = ").append(std::to_string(value)).append("\n");
        text += value == faulty ? "memory = 1\nextra = 1\n\n" : "memory = \"1GiB\"\n\n";
    }
    return text;
}

/** Operators submit concurrently and resend. Each verdict is compared with that of a simple model of the rules. */
class SubmissionSimulation {
public:
    void perform(const FuzzStep& step)
    {
        unsigned kind = step.action % 6;
        if (kind == 0) {
            m_machine.restart();
        } else if (kind <= 2 && !m_sent.empty()) {
            resend(m_sent[step.argument % m_sent.size()]);
        } else {
            submit(step);
        }
        RC_ASSERT(m_machine.state().document()->version == m_version);
        RC_ASSERT(documentSections() == m_current);
    }

private:
    struct Sent {
        SubmitDocument command;
        SubmitAnswer answer;
    };

    void submit(const FuzzStep& step)
    {
        Sections wanted = m_current;
        wanted[step.argument % 2 ? "a" : "b"] = step.modifier % 5;
        if (step.argument % 7 == 0)
            wanted["a"] = step.argument % 3;
        std::uint64_t back = step.actor % 4 == 0 ? std::min<std::uint64_t>(m_version.value(), step.modifier % 3) : 0;
        Submitter submitters[] = { { TeamName("a"), false }, { TeamName("b"), false }, { {}, true } };
        SubmitDocument command { SubmitId(std::to_string(m_sent.size())), submitters[step.actor % 3], DocumentVersion(m_version.value() - back), textOf(wanted) };
        auto answer = m_machine.apply<SubmitAnswer>(command);
        checkFirstAnswer(command, wanted, answer);
        m_sent.push_back({ command, answer });
    }

    void checkFirstAnswer(const SubmitDocument& command, const Sections& wanted, const SubmitAnswer& answer)
    {
        using enum SubmitAnswer::Verdict;
        SubmitAnswer::Verdict expected = Accepted;
        for (const auto& [team, value] : wanted) {
            bool isForeign = !command.submitter.isAdministrator && team != command.submitter.team.text();
            if (isForeign && value != m_current[team])
                expected = Forbidden;
        }
        for (const auto& [team, value] : wanted) {
            if (value == faulty)
                expected = Rejected;
        }
        if (command.base != m_version)
            expected = Conflict;
        RC_ASSERT(answer.verdict == expected);
        RC_ASSERT((answer.verdict == Rejected || answer.verdict == Forbidden) == !answer.faults.empty());
        if (expected == Accepted) {
            m_version = m_version.next();
            m_current = wanted;
        }
        RC_ASSERT(answer.version == m_version);
        std::erase_if(m_current, [](const auto& entry) { return entry.second == absent; });
    }

    void resend(const Sent& sent)
    {
        RC_ASSERT(m_machine.apply<SubmitAnswer>(sent.command) == sent.answer);
    }

    Sections documentSections() const
    {
        Sections sections;
        for (const auto& [name, model] : m_machine.state().document()->models)
            sections[name.text()] = model.replicas;
        return sections;
    }

    FuzzedMachine m_machine;
    Sections m_current;
    DocumentVersion m_version;
    std::vector<Sent> m_sent;
};

/** A command of any kind. Its names come from a small set, so that commands interact. */
CommandBody anyCommand(const FuzzStep& step)
{
    std::string name(1, static_cast<char>('a' + step.actor % 3));
    HostName host(name);
    DataCentreName dataCentre(step.argument % 2 ? "x" : "y");
    FencingNumber fencing(step.modifier % 5);
    std::vector<HostName> eligibleHosts { HostName("a"), HostName("b"), HostName("c") };
    eligibleHosts.resize(1 + step.modifier % 3);
    IdempotencyKey key(name);
    AttemptId attempt(std::to_string(step.argument % 5));
    switch (step.action % 10) {
    case 0:
        return SubmitDocument { SubmitId(name), { TeamName("a"), step.modifier % 2 == 0 }, DocumentVersion(step.argument % 4), textOf({ { "a", step.modifier % 5 }, { "b", step.argument % 4 } }) };
    case 1:
        return AcquireTerm { dataCentre, host, attempt.text(), eligibleHosts };
    case 2:
        return RenewTerm { dataCentre, host, fencing, eligibleHosts };
    case 3:
        return ReleaseTerm { dataCentre, host, fencing };
    case 4:
        return RequestPermits { dataCentre, fencing, ModelName(name), step.modifier % 4, step.argument % 8 };
    case 5:
        return ReturnPermits { dataCentre, fencing, ModelName(name), step.modifier % 4, step.argument % 8 };
    case 6:
        return ClaimRun { key, attempt, ServiceName("s"), Digest(step.modifier % 2, 1), std::chrono::milliseconds(step.argument), std::chrono::microseconds(step.modifier) };
    case 7:
        return RecordOutcome { key, attempt, step.modifier, "text/plain", ByteString(step.modifier % 50, '\0'), step.modifier % 7 == 0 };
    case 8:
        return VoidRun { key, attempt };
    default:
        return AbandonRun { key, attempt };
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SubmissionFuzzTests)

BOOST_AUTO_TEST_CASE(eachSubmissionIsDecidedOnce)
{
    BOOST_TEST(rc::check("racing operators and resends", [] {
        SubmissionSimulation simulation;
        for (const FuzzStep& step : *fuzzSteps())
            simulation.perform(step);
    }));
}

BOOST_AUTO_TEST_CASE(aStateRestoredAtAnyPointAnswersTheSame)
{
    BOOST_TEST(rc::check("snapshot, restore and codecs", [] {
        StateMachine::Options options = StateMachine::Options().withMaximumRunBodyBytes(30).withRememberedSubmissions(3);
        FuzzedMachine plain(options);
        FuzzedMachine restored(options);
        for (const FuzzStep& step : *fuzzSteps()) {
            plain.time += std::chrono::milliseconds(step.actor);
            restored.time = plain.time;
            if (step.modifier % 4 == 0)
                restored.restart();
            Command command { plain.time, anyCommand(step) };
            auto decoded = decodeCommand(encodeCommand(command));
            RC_ASSERT(decoded.has_value() && *decoded == command);
            Answer answer = plain.applyAny(command.body);
            RC_ASSERT(restored.applyAny(decoded->body) == answer);
            auto decodedAnswer = decodeAnswer(encodeAnswer(answer));
            RC_ASSERT(decodedAnswer.has_value() && *decodedAnswer == answer);
        }
        RC_ASSERT(plain.state().snapshot() == restored.state().snapshot());
    }));
}

BOOST_AUTO_TEST_CASE(mutatedMessagesAreRejectedOrDecodedWithoutACrash)
{
    BOOST_TEST(rc::check("mutated commands, answers and snapshots", [](const FuzzStep& step, const std::vector<std::pair<std::uint16_t, std::uint8_t>>& changes) {
        FuzzedMachine machine;
        machine.applyAny(anyCommand(step));
        ByteString messages[] = { encodeCommand({ machine.time, anyCommand(step) }), machine.state().snapshot() };
        for (ByteString& bytes : messages) {
            for (const auto& [at, value] : changes)
                bytes[at % bytes.size()] = static_cast<char>(value);
            auto command = decodeCommand(bytes);
            if (command)
                machine.applyAny(command->body);
            decodeAnswer(bytes).has_value();
            StateMachine::restore(bytes, {}).has_value();
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
