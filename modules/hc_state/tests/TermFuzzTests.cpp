#include "FuzzSteps.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace hemlockchute;

namespace {

const DataCentreName dataCentre("tallinn");
constexpr unsigned hostCount = 4;
constexpr Duration lease = 5s;

/** A controller host that follows the rules of docs/design/terms.md, with an exact clock. */
struct Host {
    HostName name;
    Duration promisedUntil {};
    /** After a restart, when it may try to take a term again. */
    Duration silentUntil {};
    /** The attempt whose answer is pending. */
    std::string pendingAttempt;
    FencingNumber fencing;
    Duration actsFrom {};
    Duration leaseUntil {};
    /** Every host listed as eligible in this term. */
    std::set<HostName> listed;

    bool leads(Duration now) const { return !fencing.isNone() && now < leaseUntil; }
    bool acts(Duration now) const { return leads(now) && actsFrom <= now; }
};

/**
    Hosts acquire, renew and release terms, drop a pending attempt, promise to take no term, pause,
    and restart without their state, while commands are delayed, duplicated and lost and the
    keepers' wall clock jumps ahead.

    After each step at most one host may give orders.
*/
class TermSimulation {
public:
    TermSimulation()
    {
        for (unsigned i = 0; i < hostCount; ++i)
            m_hosts[i].name = HostName(std::string(1, static_cast<char>('a' + i)));
        m_known = { m_hosts[0].name, m_hosts[1].name };
    }

    void perform(const FuzzStep& step)
    {
        Host& host = m_hosts[step.actor % hostCount];
        switch (step.action % 16) {
        case 0:
        case 1:
            acquire(host);
            break;
        case 2:
            host.pendingAttempt.clear();
            break;
        case 3:
        case 4:
        case 5:
        case 6:
            deliver(step.argument, step.modifier);
            break;
        case 7:
            renew(host);
            break;
        case 8:
        case 9:
            for (Host& leader : m_hosts)
                requestPromises(leader);
            break;
        case 10:
        case 11:
            m_now += std::chrono::milliseconds(step.argument * 4);
            break;
        case 12:
            m_skew += std::chrono::milliseconds(step.argument * 10);
            break;
        case 13:
            restart(host, step.modifier % 3 == 0);
            break;
        case 14:
            m_known.insert(host.name);
            break;
        default:
            release(host, step.modifier % 4 == 0);
        }
        checkInvariants();
    }

private:
    struct InFlight {
        unsigned host;
        Duration sentAt;
        CommandBody body;
    };

    void send(Host& host, CommandBody body)
    {
        m_network.push_back({ static_cast<unsigned>(&host - m_hosts), m_now, std::move(body) });
    }

    std::vector<HostName> eligibleHosts(const Host& host) const
    {
        std::set<HostName> all = m_known;
        all.insert(host.name);
        return { all.begin(), all.end() };
    }

    void acquire(Host& host)
    {
        bool mustWait = host.leads(m_now) || !host.pendingAttempt.empty() || m_now < host.promisedUntil || m_now < host.silentUntil;
        if (mustWait)
            return;
        host.pendingAttempt = "attempt-" + std::to_string(++m_attempts);
        send(host, AcquireTerm { dataCentre, host.name, host.pendingAttempt, eligibleHosts(host) });
    }

    void renew(Host& host)
    {
        if (!host.leads(m_now))
            return;
        auto listed = eligibleHosts(host);
        host.listed.insert(listed.begin(), listed.end());
        send(host, RenewTerm { dataCentre, host.name, host.fencing, listed });
    }

    void requestPromises(Host& host)
    {
        if (!host.leads(m_now))
            return;
        bool allPromised = true;
        for (Host& other : m_hosts) {
            if (&other == &host || !host.listed.contains(other.name))
                continue;
            bool promises = other.pendingAttempt.empty() && !other.leads(m_now);
            allPromised = allPromised && promises;
            if (promises)
                other.promisedUntil = std::max(other.promisedUntil, m_now + lease);
        }
        if (allPromised)
            host.leaseUntil = std::max(host.leaseUntil, m_now + lease);
    }

    void restart(Host& host, bool isKeeper)
    {
        if (isKeeper) {
            m_machine.restart();
            return;
        }
        HostName name = host.name;
        host = Host();
        host.name = name;
        host.silentUntil = m_now + lease;
    }

    void release(Host& host, bool isWanted)
    {
        if (!isWanted || !host.acts(m_now))
            return;
        send(host, ReleaseTerm { dataCentre, host.name, host.fencing });
        host.fencing = FencingNumber();
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
        m_machine.time = WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(1h + m_now + m_skew));
        auto answer = m_machine.apply<TermAnswer>(message.body);
        bool isLost = modifier % 5 == 1;
        Host& host = m_hosts[message.host];
        if (const auto* acquire = std::get_if<AcquireTerm>(&message.body))
            handleAcquireAnswer(host, *acquire, answer, message.sentAt, isLost);
        const auto* renewal = std::get_if<RenewTerm>(&message.body);
        if (renewal && !isLost && answer.granted && host.fencing == renewal->fencing)
            host.leaseUntil = std::max(host.leaseUntil, message.sentAt + answer.lease);
    }

    void handleAcquireAnswer(Host& host, const AcquireTerm& acquire, const TermAnswer& answer, Duration sentAt, bool isLost)
    {
        if (answer.granted) {
            auto [found, isNew] = m_granted.emplace(acquire.attempt, answer.fencing);
            bool isRight = isNew ? answer.fencing > m_lastFencing : answer.fencing == found->second;
            RC_ASSERT(isRight);
            m_lastFencing = std::max(m_lastFencing, answer.fencing);
        }
        if (isLost || host.pendingAttempt != acquire.attempt)
            return;
        host.pendingAttempt.clear();
        if (!answer.granted)
            return;
        host.fencing = answer.fencing;
        host.leaseUntil = sentAt + answer.lease;
        host.actsFrom = m_now + answer.wait;
        host.listed = { acquire.eligibleHosts.begin(), acquire.eligibleHosts.end() };
    }

    void checkInvariants() const
    {
        unsigned acting = 0;
        for (const Host& host : m_hosts)
            acting += host.acts(m_now) ? 1 : 0;
        RC_ASSERT(acting <= 1U);
    }

    FuzzedMachine m_machine { StateMachine::Options().withTermLease(lease) };
    Host m_hosts[hostCount];
    /** The hosts that every host lists as members of the data centre. */
    std::set<HostName> m_known;
    std::vector<InFlight> m_network;
    Duration m_now {};
    Duration m_skew {};
    std::map<std::string, FencingNumber> m_granted;
    FencingNumber m_lastFencing;
    unsigned m_attempts = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TermFuzzTests)

BOOST_AUTO_TEST_CASE(neverDoTwoHostsGiveOrdersAtOnce)
{
    BOOST_TEST(rc::check("terms under partitions, pauses and restarts without state", [] {
        TermSimulation simulation;
        for (const FuzzStep& step : *fuzzSteps())
            simulation.perform(step);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
