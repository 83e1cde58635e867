#include "FuzzSteps.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

const ModelName model("m");
constexpr unsigned dataCentreCount = 3;

/** A data centre's controller and the number of replicas that its engines have loaded. */
struct Centre {
    DataCentreName name;
    FencingNumber fencing;
    std::uint64_t sequence = 0;
    unsigned loaded = 0;
    /** The last command, while its answer is pending. */
    std::optional<CommandBody> outstanding;
};

std::uint64_t sequenceOf(const CommandBody& body)
{
    const auto* request = std::get_if<RequestPermits>(&body);
    return request ? request->sequence : std::get<ReturnPermits>(body).sequence;
}

/**
    Controllers request, use and return permits over a network that delays, reorders, duplicates
    and loses messages, while caps change and controllers are replaced.

    After each step no data centre has more replicas loaded than permits held, and no grant has
    raised the sum of the permits above the cap.
*/
class PermitSimulation {
public:
    PermitSimulation()
    {
        setCap(4);
        for (unsigned i = 0; i < dataCentreCount; ++i) {
            m_centres[i].name = DataCentreName("dc" + std::to_string(i));
            takeOver(m_centres[i]);
        }
    }

    void perform(const FuzzStep& step)
    {
        Centre& centre = m_centres[step.actor % dataCentreCount];
        switch (step.action % 10) {
        case 0:
        case 1:
            request(centre, step.argument % 6);
            break;
        case 2:
            unload(centre, step.argument % 4);
            break;
        case 3:
        case 4:
        case 5:
            deliver(step.argument, step.modifier);
            break;
        case 6:
            resend(centre);
            break;
        case 7:
            setCap(step.argument % 6);
            break;
        case 8:
            takeOver(centre);
            break;
        default:
            m_machine.restart();
        }
        checkInvariants();
    }

private:
    struct InFlight {
        unsigned centre;
        CommandBody body;
    };

    void request(Centre& centre, unsigned wanted)
    {
        if (!centre.outstanding)
            send(centre, RequestPermits { centre.name, centre.fencing, model, wanted, ++centre.sequence });
    }

    void unload(Centre& centre, unsigned kept)
    {
        if (centre.outstanding)
            return;
        centre.loaded = std::min(centre.loaded, kept);
        send(centre, ReturnPermits { centre.name, centre.fencing, model, centre.loaded, ++centre.sequence });
    }

    void send(Centre& centre, CommandBody body)
    {
        centre.outstanding = body;
        m_network.push_back({ static_cast<unsigned>(&centre - m_centres), std::move(body) });
    }

    void resend(Centre& centre)
    {
        if (centre.outstanding)
            m_network.push_back({ static_cast<unsigned>(&centre - m_centres), *centre.outstanding });
    }

    void deliver(unsigned index, unsigned modifier)
    {
        if (m_network.empty())
            return;
        std::size_t at = index % m_network.size();
        InFlight message = m_network[at];
        bool isRepeated = modifier % 3 == 0;
        if (!isRepeated)
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(at));
        Centre& centre = m_centres[message.centre];
        unsigned before = held(centre);
        auto answer = m_machine.apply<PermitAnswer>(message.body);
        FencingNumber fencing = std::visit([](const auto& body) -> FencingNumber {
            if constexpr (requires { body.fencing; })
                return body.fencing;
            return {};
        },
            message.body);
        bool isCurrent = fencing == centre.fencing;
        RC_ASSERT(answer.accepted == isCurrent);
        RC_ASSERT(isCurrent || held(centre) == before);
        bool isLost = modifier % 4 == 1;
        bool isAwaited = isCurrent && centre.outstanding && sequenceOf(*centre.outstanding) == sequenceOf(message.body);
        if (isLost || !isAwaited)
            return;
        centre.outstanding.reset();
        centre.loaded = std::max(centre.loaded, std::min(answer.held, answer.allowed));
    }

    void setCap(unsigned cap)
    {
        m_cap = cap;
        std::string text = "[[team.a.models]]\nname = \"m\"\nmemory = \"1GiB\"\nreplicas = " + std::to_string(cap) + "\n";
        DocumentVersion base = m_machine.state().document()->version;
        auto answer = m_machine.apply<SubmitAnswer>(SubmitDocument { SubmitId(std::to_string(base.value())), { {}, true }, base, text });
        RC_ASSERT(answer.verdict == SubmitAnswer::Verdict::Accepted);
    }

    /** A new controller takes the term; the commands of the old one stay in flight. */
    void takeOver(Centre& centre)
    {
        m_machine.time += 10s;
        HostName host("host");
        auto answer = m_machine.apply<TermAnswer>(AcquireTerm { centre.name, host, std::to_string(++m_attempts), { host } });
        RC_ASSERT(answer.granted && answer.fencing > centre.fencing);
        centre.fencing = answer.fencing;
        centre.sequence = 0;
        centre.outstanding.reset();
    }

    unsigned held(const Centre& centre) const
    {
        auto permits = m_machine.state().permits(centre.name);
        return permits.contains(model) ? permits[model] : 0;
    }

    void checkInvariants()
    {
        unsigned sum = 0;
        unsigned allowedSum = 0;
        for (Centre& centre : m_centres) {
            sum += held(centre);
            RC_ASSERT(centre.loaded <= held(centre));
            auto probe = m_machine.apply<PermitAnswer>(RequestPermits { centre.name, FencingNumber(), model, 9 });
            RC_ASSERT(!probe.accepted && probe.held == held(centre) && probe.allowed <= probe.held);
            allowedSum += probe.allowed;
        }
        RC_ASSERT(sum <= std::max(m_lastSum, m_cap));
        RC_ASSERT(allowedSum == std::min(sum, m_cap));
        m_lastSum = sum;
    }

    FuzzedMachine m_machine;
    Centre m_centres[dataCentreCount];
    std::vector<InFlight> m_network;
    unsigned m_cap = 0;
    unsigned m_lastSum = 0;
    unsigned m_attempts = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PermitFuzzTests)

BOOST_AUTO_TEST_CASE(noMoreIsLoadedThanHeldAndNoMoreHeldThanTheCap)
{
    BOOST_TEST(rc::check("permits over an unreliable network", [] {
        PermitSimulation simulation;
        for (const FuzzStep& step : *fuzzSteps())
            simulation.perform(step);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
