#include "PropertyCheck.h"
#include "hemlockchute/controller/LeaseKeeper.h"
#include "hemlockchute/state/StateMachine.h"

#include <map>
#include <random>

using namespace hemlockchute;

namespace {

const DataCentreName dataCentre("tallinn");
const HostName hostNames[] = { HostName("a"), HostName("b"), HostName("c") };
constexpr std::size_t hostCount = std::size(hostNames);

/** One host: its clock, which runs a little fast or slow, and its present life. */
struct Host {
    HostName name;
    double clockRate = 1;
    Duration clockOffset {};
    std::unique_ptr<LeaseKeeper> lease;
    unsigned life = 0;
    bool isPaused = false;
    bool reachesKeepers = true;

    Instant clock(Duration trueTime) const
    {
        return Instant(clockOffset + Duration(static_cast<std::int64_t>(static_cast<double>(trueTime.count()) * clockRate)));
    }
};

/** The hosts of a data centre, the keepers' terms and a network that loses, delays, repeats and cuts. */
class World {
public:
    World(std::uint64_t seed, bool hasLateJoiner)
        : m_random(seed)
        , m_hasLateJoiner(hasLateJoiner)
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            m_hosts[i].name = hostNames[i];
            m_hosts[i].clockRate = 0.98 + 0.02 * static_cast<double>(i);
            m_hosts[i].clockOffset = 1000s * (i + 1);
            begin(m_hosts[i]);
        }
    }

    void act(unsigned choice)
    {
        Host& host = m_hosts[pick(hostCount)];
        switch (choice % 24) {
        case 0:
            host.reachesKeepers = !host.reachesKeepers;
            break;
        case 1:
            m_cuts[{ pick(hostCount), pick(hostCount) }] ^= true;
            break;
        case 2:
            host.isPaused = !host.isPaused;
            break;
        case 3:
            begin(host);
            break;
        case 4:
            release(host);
            break;
        case 5:
            m_keeperLead += std::chrono::milliseconds(pick(4000));
            break;
        case 6:
            for (Host& each : m_hosts) {
                each.isPaused = false;
                each.reachesKeepers = true;
            }
            m_cuts.clear();
            break;
        case 7:
            for (Host& each : m_hosts)
                each.reachesKeepers = false;
            break;
        default:
            run(std::chrono::milliseconds(20 + pick(600)));
        }
    }

    unsigned ordersGiven() const { return m_ordersGiven; }
    unsigned leadersSeen() const { return static_cast<unsigned>(m_leaders.size()); }

private:
    struct Message {
        Duration at;
        std::function<void()> deliver;
    };

    std::size_t pick(std::size_t bound) { return m_random() % bound; }

    void begin(Host& host)
    {
        ++host.life;
        std::vector<HostName> names(hostNames, hostNames + hostCount);
        bool isJoiner = host.name == hostNames[hostCount - 1];
        if (m_hasLateJoiner && !isJoiner && pick(2) == 0)
            names.pop_back();
        host.lease = std::make_unique<LeaseKeeper>(dataCentre, host.name, names, host.name.text() + std::to_string(host.life), host.clock(m_time), LeaseKeeper::Options());
    }

    /** Sends: mostly quick, sometimes very late, lost or twice. */
    void send(std::function<void()> deliver)
    {
        std::size_t fate = pick(20);
        if (fate == 0)
            return;
        Duration delay = std::chrono::milliseconds(fate <= 3 ? pick(9000) : 1 + pick(30));
        m_messages.push_back({ m_time + delay, deliver });
        if (fate == 4)
            m_messages.push_back({ m_time + std::chrono::milliseconds(pick(9000)), deliver });
    }

    void run(Duration length)
    {
        constexpr Duration tick = 20ms;
        for (Duration passed {}; passed < length; passed += tick) {
            m_time += tick;
            deliverDue();
            for (Host& host : m_hosts) {
                if (!host.isPaused)
                    tend(host);
            }
            check();
        }
    }

    void deliverDue()
    {
        std::vector<Message> due;
        std::erase_if(m_messages, [&](Message& message) {
            if (message.at > m_time)
                return false;
            due.push_back(message);
            return true;
        });
        for (Message& message : due)
            message.deliver();
    }

    void tend(Host& host)
    {
        Instant now = host.clock(m_time);
        if (auto command = host.lease->nextCommand(now); command && host.reachesKeepers)
            propose(host, *command);
        auto round = host.lease->nextPromiseRound(now);
        if (!round)
            return;
        for (const HostName& other : round->hosts)
            ask(host, *round, other);
    }

    /** Delivers to a host's present life, once it is no longer paused. */
    void deliverTo(Host& host, unsigned life, std::function<void()> action)
    {
        if (host.life != life)
            return;
        if (host.isPaused)
            m_messages.push_back({ m_time + 20ms, [this, &host, life, action] { deliverTo(host, life, action); } });
        else
            action();
    }

    void propose(Host& host, const LeaseKeeper::KeeperCommand& command)
    {
        send([this, &host, life = host.life, command] {
            TermAnswer answer = apply(command.command);
            if (!host.reachesKeepers)
                return;
            send([this, &host, life, command, answer] {
                deliverTo(host, life, [this, &host, command, answer] { host.lease->keeperAnswered(command.number, answer, host.clock(m_time)); });
            });
        });
    }

    TermAnswer apply(const CommandBody& body)
    {
        Command command;
        command.time = WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_time + m_keeperLead));
        command.body = body;
        return std::get<TermAnswer>(m_keepers.apply(m_keepers.lastApplied().next(), command));
    }

    void ask(Host& holder, const LeaseKeeper::PromiseRound& round, const HostName& other)
    {
        std::size_t from = static_cast<std::size_t>(&holder - m_hosts);
        for (std::size_t to = 0; to < hostCount; ++to) {
            if (m_hosts[to].name != other || m_cuts[{ from, to }])
                continue;
            Host& target = m_hosts[to];
            send([this, &holder, &target, from, to, round, askedLife = holder.life] {
                deliverTo(target, target.life, [this, &holder, &target, from, to, round, askedLife] {
                    bool isPromised = target.lease->promise(holder.name, round.length, target.clock(m_time));
                    if (m_cuts[{ to, from }])
                        return;
                    send([this, &holder, &target, round, isPromised, askedLife] {
                        deliverTo(holder, askedLife, [this, &holder, &target, round, isPromised] { holder.lease->promiseAnswered(round.number, target.name, isPromised, holder.clock(m_time)); });
                    });
                });
            });
        }
    }

    void release(Host& host)
    {
        if (host.isPaused)
            return;
        if (auto command = host.lease->release(host.clock(m_time)))
            send([this, command = *command] { apply(command); });
        begin(host);
    }

    /** The oracle: no two hosts may give orders at one moment. */
    void check()
    {
        std::vector<HostName> ordering;
        for (Host& host : m_hosts) {
            if (host.lease->mayOrder(host.clock(m_time)))
                ordering.push_back(host.name);
        }
        if (ordering.size() > 1)
            RC_FAIL(ordering[0].text() + " and " + ordering[1].text() + " may both give orders");
        if (!ordering.empty()) {
            ++m_ordersGiven;
            m_leaders.insert(ordering.front());
        }
    }

    std::mt19937_64 m_random;
    bool m_hasLateJoiner;
    Duration m_time = 1h;
    Duration m_keeperLead {};
    Host m_hosts[hostCount];
    std::map<std::pair<std::size_t, std::size_t>, bool> m_cuts;
    std::vector<Message> m_messages;
    StateMachine m_keepers { StateMachine::Options() };
    unsigned m_ordersGiven = 0;
    std::set<HostName> m_leaders;
};

Instant at(Duration time)
{
    return Instant(1h + time);
}

LeaseKeeper makeKeeper(const char* self = "a")
{
    return { dataCentre, HostName(self), { HostName("a"), HostName("b") }, "life", at(0s), LeaseKeeper::Options() };
}

const TermAnswer granted { true, FencingNumber(1), HostName("a"), 5s, 0s };

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseKeeperTests)

BOOST_AUTO_TEST_CASE(NoTwoHostsGiveOrdersAtOnce)
{
    std::uint64_t orders = 0;
    std::uint64_t changes = 0;
    checkProperty("at most one host of a data centre gives orders", 300, [&] {
        auto seed = *rc::gen::arbitrary<std::uint64_t>();
        auto choices = *rc::gen::container<std::vector<unsigned>>(400, rc::gen::arbitrary<unsigned>());
        World world(seed, seed % 2 == 0);
        for (unsigned choice : choices)
            world.act(choice);
        orders += world.ordersGiven();
        changes += world.leadersSeen() > 1 ? 1 : 0;
    });
    BOOST_TEST_MESSAGE("moments with a leader: " << orders << ", runs with several leaders: " << changes);
    BOOST_TEST(orders > 0U);
    BOOST_TEST(changes > 0U);
}

BOOST_AUTO_TEST_CASE(AHostSeeksNothingForOneLeaseAfterItsStart)
{
    LeaseKeeper lease = makeKeeper();
    BOOST_TEST(!lease.nextCommand(at(5s)).has_value());
    BOOST_TEST(lease.nextCommand(at(6s)).has_value());
}

BOOST_AUTO_TEST_CASE(ALeaseEndsBeforeTheKeepersSayUnlessItIsRenewed)
{
    LeaseKeeper lease = makeKeeper();
    auto seek = lease.nextCommand(at(6s));
    lease.keeperAnswered(seek->number, granted, at(6100ms));
    BOOST_TEST(lease.mayOrder(at(6200ms)));
    BOOST_TEST(lease.mayOrder(at(10700ms)));
    BOOST_TEST(!lease.mayOrder(at(10800ms)));
    auto renewal = lease.nextCommand(at(8s));
    BOOST_REQUIRE(std::holds_alternative<RenewTerm>(renewal->command));
    lease.keeperAnswered(renewal->number, granted, at(8100ms));
    BOOST_TEST(lease.mayOrder(at(12s)));
}

BOOST_AUTO_TEST_CASE(InACutEveryOtherHostMustPromise)
{
    LeaseKeeper lease = makeKeeper();
    auto seek = lease.nextCommand(at(6s));
    lease.keeperAnswered(seek->number, granted, at(6s));
    auto round = lease.nextPromiseRound(at(9s));
    BOOST_REQUIRE(round);
    BOOST_TEST(round->hosts.size() == 1U);
    lease.promiseAnswered(round->number, HostName("b"), false, at(9s));
    BOOST_TEST(!lease.mayOrder(at(11s)));
    LeaseKeeper kept = makeKeeper();
    seek = kept.nextCommand(at(6s));
    kept.keeperAnswered(seek->number, granted, at(6s));
    round = kept.nextPromiseRound(at(9s));
    kept.promiseAnswered(round->number, HostName("b"), true, at(9100ms));
    BOOST_TEST(kept.mayOrder(at(13s)));
    BOOST_TEST(!kept.mayOrder(at(14s)));
}

BOOST_AUTO_TEST_CASE(APromiseIsKeptAndNoneIsGivenWhileSeeking)
{
    LeaseKeeper lease = makeKeeper("b");
    BOOST_TEST(lease.promise(HostName("a"), 5s, at(6s)));
    BOOST_TEST(!lease.nextCommand(at(10900ms)).has_value());
    BOOST_TEST(lease.leader(at(7s)) == HostName("a"));
    auto seek = lease.nextCommand(at(12s));
    BOOST_REQUIRE(seek);
    BOOST_TEST(!lease.promise(HostName("a"), 5s, at(12s)));
    lease.keeperFailed(seek->number, at(13s));
    BOOST_TEST(lease.promise(HostName("a"), 5s, at(13s)));
    lease.keeperAnswered(seek->number, granted, at(13s));
    BOOST_TEST(!lease.isHolder(at(13s)));
}

BOOST_AUTO_TEST_CASE(AReleaseEndsOrdersAtOnce)
{
    LeaseKeeper lease = makeKeeper();
    BOOST_TEST(!makeKeeper().release(at(6s)).has_value());
    auto seek = lease.nextCommand(at(6s));
    lease.keeperAnswered(seek->number, granted, at(6s));
    BOOST_TEST(lease.release(at(7s)).has_value());
    BOOST_TEST(!lease.mayOrder(at(7s)));
    BOOST_TEST(!lease.nextCommand(at(9s)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
