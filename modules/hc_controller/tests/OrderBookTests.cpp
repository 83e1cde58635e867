#include "FakeEngine.h"
#include "PropertyCheck.h"
#include "hemlockchute/controller/OrderBook.h"

#include <functional>
#include <random>

using namespace hemlockchute;

namespace {

const ModelName models[] = { ModelName("m0"), ModelName("m1"), ModelName("m2") };
const BackendServerName engineNames[] = { BackendServerName("checks"), BackendServerName("ignores") };
constexpr std::size_t modelCount = std::size(models);
constexpr std::size_t engineCount = std::size(engineNames);
constexpr Duration leaseLength = 5s;

ByteCount memoryOf(std::size_t model)
{
    return ByteCount::gibibytes(3 + model);
}

BackendServer listed(const BackendServerName& name)
{
    BackendServer server;
    server.name = name;
    return server;
}

/** Engines, one leader after the other, and a network that loses, delays and repeats. */
class World {
public:
    explicit World(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < engineCount; ++i)
            m_engines.push_back({ FakeEngine(engineNames[i], ByteCount::gibibytes(8), i == 0), 1 });
        lead();
    }

    void act(unsigned choice)
    {
        std::size_t model = pick(modelCount);
        std::size_t engine = pick(engineCount);
        switch (choice % 20) {
        case 0:
            m_engines[engine].engine.restart();
            ++m_engines[engine].life;
            break;
        case 1:
            if (pick(4) == 0)
                lead();
            break;
        case 2:
            m_permits[model] = std::min(m_permits[model] + 1, 2U);
            break;
        case 3:
            giveBack(model);
            break;
        case 4:
        case 5:
        case 6:
        case 7:
        case 8:
            order(OrderKind::LoadModel, model, engine);
            break;
        case 9:
        case 10:
            order(OrderKind::UnloadModel, model, engine);
            break;
        default:
            run(std::chrono::milliseconds(20 + pick(900)));
        }
        check();
    }

    unsigned loadsSeen() const { return m_loadsSeen; }
    unsigned takeovers() const { return m_fencing; }

private:
    struct Message {
        Instant at;
        std::function<void()> deliver;
    };

    struct Machine {
        FakeEngine engine;
        unsigned life;
    };

    std::size_t pick(std::size_t bound) { return m_random() % bound; }

    /** A new leader takes over; what the last one sent stays under way. */
    void lead()
    {
        Instant ordersFrom = m_fencing == 0 ? m_now : m_now + leaseLength;
        ++m_fencing;
        m_book = std::make_unique<OrderBook>(FencingNumber(m_fencing), ordersFrom, "t" + std::to_string(m_fencing), OrderBook::Options());
        m_book->setServers({ listed(engineNames[0]), listed(engineNames[1]) }, m_now);
        m_book->inherit(m_record, m_now);
    }

    void giveBack(std::size_t model)
    {
        m_record = m_book->record();
        m_permits[model] = std::min(m_permits[model], m_book->possibleReplicas(models[model]));
    }

    void order(OrderKind kind, std::size_t model, std::size_t engine)
    {
        OrderBook::OrderRequest request;
        request.kind = kind;
        request.engine = engineNames[engine];
        request.model = models[model];
        request.memory = kind == OrderKind::LoadModel ? memoryOf(model) : ByteCount();
        auto issued = m_book->issue(request, m_permits[model], m_now);
        if (issued)
            sendCopy(*issued);
    }

    /** Records, then sends; an answer that does not come in time is unknown. */
    void sendCopy(const RecordedOrder& recorded)
    {
        m_record = m_book->record();
        OrderId id = recorded.order.id;
        m_book->noteSending(id, m_now);
        if (pick(12) == 0) {
            m_book->noteSent(id, OrderBook::SendOutcome::NotSent, m_now);
            return;
        }
        auto isConcluded = std::make_shared<bool>(false);
        unsigned term = m_fencing;
        auto conclude = [this, id, term, isConcluded](OrderBook::SendOutcome outcome) {
            if (*isConcluded || term != m_fencing)
                return;
            *isConcluded = true;
            m_book->noteSent(id, outcome, m_now);
        };
        later(1s, [conclude] { conclude(OrderBook::SendOutcome::Unknown); });
        std::size_t engine = recorded.engine == engineNames[0] ? 0 : 1;
        bool isLost = pick(10) == 0;
        if (isLost)
            return;
        later(delay(), [this, recorded, engine, life = m_engines[engine].life, conclude] {
            // A copy goes to the process that the connection was made to.
            if (m_engines[engine].life != life)
                return;
            auto answer = m_engines[engine].engine.take(recorded.order, m_now, slowStart(), 100ms);
            auto outcome = answer == FakeEngine::Answer::TakenIn ? OrderBook::SendOutcome::TakenIn : OrderBook::SendOutcome::Refused;
            if (pick(8) != 0)
                later(delay(), [conclude, outcome] { conclude(outcome); });
        });
    }

    void poll(std::size_t engine)
    {
        Instant begun = m_now;
        unsigned term = m_fencing;
        later(delay(), [this, engine, begun, term] {
            EngineState state = m_engines[engine].engine.state(m_now);
            later(delay(), [this, engine, begun, term, state] {
                if (term == m_fencing)
                    m_book->noteState(engineNames[engine], state, begun, m_now);
            });
        });
    }

    /** Mostly quick, sometimes longer than any deadline. */
    Duration delay()
    {
        return std::chrono::milliseconds(pick(6) == 0 ? pick(15000) : 1 + pick(30));
    }

    Duration slowStart()
    {
        return std::chrono::milliseconds(pick(3) == 0 ? pick(3000) : 0);
    }

    void later(Duration delay, std::function<void()> action) { m_messages.push_back({ m_now + delay, std::move(action) }); }

    void run(Duration length)
    {
        constexpr Duration tick = 20ms;
        for (Duration passed {}; passed < length; passed += tick) {
            m_now += tick;
            deliverDue();
            if (++m_ticks % 5 == 0) {
                poll(pick(engineCount));
                for (const RecordedOrder& order : m_book->ordersToResend(m_now))
                    sendCopy(order);
            }
            check();
        }
    }

    void deliverDue()
    {
        std::vector<Message> due;
        std::erase_if(m_messages, [&](Message& message) {
            if (message.at > m_now)
                return false;
            due.push_back(message);
            return true;
        });
        for (Message& message : due)
            message.deliver();
    }

    /** The oracle looks at the engines themselves. */
    void check()
    {
        for (Machine& machine : m_engines) {
            machine.engine.advance(m_now);
            if (machine.engine.isOvercommitted())
                RC_FAIL("an engine's memory is overcommitted");
        }
        for (std::size_t model = 0; model < modelCount; ++model) {
            unsigned loaded = 0;
            for (Machine& machine : m_engines)
                loaded += machine.engine.holds(models[model]) ? 1 : 0;
            m_loadsSeen += loaded;
            if (loaded > m_permits[model])
                RC_FAIL("more replicas of a model are loaded than permits are held");
        }
    }

    std::mt19937_64 m_random;
    Instant m_now { 1h };
    std::uint64_t m_ticks = 0;
    std::vector<Machine> m_engines;
    std::vector<Message> m_messages;
    unsigned m_permits[modelCount] = { 1, 1, 2 };
    unsigned m_fencing = 0;
    std::unique_ptr<OrderBook> m_book;
    /** What the other entry hosts hold. */
    OrderRecord m_record;
    unsigned m_loadsSeen = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OrderBookTests)

BOOST_AUTO_TEST_CASE(ReplicasStayWithinPermitsAndMemoryIsNeverOvercommitted)
{
    std::uint64_t loads = 0;
    std::uint64_t takeovers = 0;
    checkProperty("no engine is overcommitted and no permit overdrawn", 200, [&] {
        auto seed = *rc::gen::arbitrary<std::uint64_t>();
        auto choices = *rc::gen::container<std::vector<unsigned>>(250, rc::gen::arbitrary<unsigned>());
        World world(seed);
        for (unsigned choice : choices)
            world.act(choice);
        loads += world.loadsSeen();
        takeovers += world.takeovers();
    });
    BOOST_TEST_MESSAGE("moments with a loaded replica: " << loads << ", terms: " << takeovers);
    BOOST_TEST(loads > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
