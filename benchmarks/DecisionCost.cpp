#include "hemlockchute/policy/policy.h"

#include <chrono>
#include <cstdio>
#include <random>

using namespace hemlockchute;

namespace {

constexpr unsigned activeModels = 30;
constexpr unsigned decisions = 2000;
constexpr unsigned plans = 20;

ModelName modelName(unsigned index) { return ModelName("model" + std::to_string(index)); }

/** Returns the mean duration of one call in microseconds. */
template <typename Call>
double microsecondsOf(unsigned count, Call call)
{
    auto begin = std::chrono::steady_clock::now();
    for (unsigned number = 0; number < count; ++number)
        call(number);
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / count;
}

/** Makes a document in which half of the declared entries are models, and half adapters. */
DocumentPointer makeDocument(unsigned declared)
{
    auto document = std::make_shared<Document>();
    RankSpec rank;
    rank.name = RankName("rank");
    document->ranks[rank.name] = rank;
    for (unsigned index = 0; index < declared / 2; ++index) {
        ModelSpec model;
        model.name = modelName(index);
        model.memory = ByteCount::gibibytes(8);
        document->models[model.name] = model;
        AdapterSpec adapter;
        adapter.name = AdapterName("adapter" + std::to_string(index));
        adapter.model = model.name;
        document->adapters[adapter.name] = adapter;
    }
    return document;
}

/** Measures adding and taking one request while four wait for each active model. */
double queueMicroseconds(const DocumentPointer& document)
{
    auto queue = makeRequestQueue("rank-fair", RequestQueueOptions().withParallelism(64));
    queue->setRanks(document->ranks);
    Instant now { 1h };
    std::uint64_t ticket = 0;
    auto add = [&](unsigned number) {
        QueuedRequest request;
        request.ticket = QueueTicket(++ticket);
        request.rank = RankName("rank");
        request.model = modelName(number % activeModels % (static_cast<unsigned>(document->models.size())));
        request.arrival = now;
        request.deadline = now + 1h;
        queue->add(request, now);
    };
    for (unsigned number = 0; number < activeModels * 4; ++number)
        add(number);
    return microsecondsOf(decisions, [&](unsigned number) {
        add(number);
        queue->take([](const QueuedRequest&) { return true; }, now);
    });
}

/** Measures picking among all servers that have the model. */
double pickMicroseconds(unsigned servers)
{
    std::vector<ServerCandidate> candidates;
    for (unsigned index = 0; index < servers; ++index)
        candidates.push_back({ BackendServerName("server" + std::to_string(index)), index % 8, index % 8, 0, 100ms, 8, 0, 0s });
    auto picker = makeServerPicker("two-choices");
    std::mt19937_64 random(1);
    std::size_t sum = 0;
    double time = microsecondsOf(decisions, [&](unsigned) { sum += picker->pick(candidates, random()).value_or(0); });
    return sum == 0 ? 0 : time;
}

/** Measures planning for active models, each loaded on one server except a cold one; requests wait for half of them. */
double planMicroseconds(const DocumentPointer& document, unsigned servers)
{
    PlannerInput input;
    input.document = document;
    input.storeLoadsAllowed = 4;
    for (unsigned index = 0; index < servers; ++index) {
        PlannedEngine engine;
        engine.name = BackendServerName("server" + std::to_string(index));
        engine.memory = ByteCount::gibibytes(80);
        input.engines.push_back(engine);
    }
    unsigned active = std::min(activeModels, static_cast<unsigned>(document->models.size()));
    for (unsigned index = 0; index < active; ++index) {
        PlannedDemand demand;
        demand.model = modelName(index);
        demand.waiting = index % 2;
        input.permits[demand.model] = 1;
        input.demand.push_back(demand);
        if (index == 0)
            continue;
        PlannedEngine& engine = input.engines[index % servers];
        PlannedModel model;
        model.model = demand.model;
        model.memory = ByteCount::gibibytes(8);
        model.isLoaded = true;
        engine.models.push_back(model);
        engine.memoryReserved += model.memory;
    }
    input.demand.front().waiting = 1;
    auto planner = makePlacementPlanner("worth-per-load-time");
    return microsecondsOf(plans, [&](unsigned) { planner->plan(input); });
}

} // namespace

/** Prints the cost of one decision at current and larger sizes, with the same number of active models. */
int main()
{
    std::printf("%-9s %-9s %14s %14s %14s   (microseconds, %u models active)\n", "servers", "declared", "add and take", "pick", "plan", activeModels);
    for (unsigned servers : { 12U, 100U, 930U }) {
        for (unsigned declared : { 65U, 330U, 25'000U }) {
            DocumentPointer document = makeDocument(declared);
            std::printf("%-9u %-9u %14.2f %14.2f %14.1f\n", servers, declared, queueMicroseconds(document), pickMicroseconds(servers), planMicroseconds(document, servers));
        }
    }
    return 0;
}
