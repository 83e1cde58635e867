#include "hemlockchute/policy/RequestQueue.h"

#include "policy/BaselineOrders.h"
#include "policy/OrderedRequestQueue.h"
#include "policy/RankFairOrder.h"
#include "policy/StrategyTable.h"

namespace hemlockchute {

RequestQueueOptions RequestQueueOptions::withMaximumWaiting(std::size_t value) const
{
    RequestQueueOptions copy = *this;
    copy.maximumWaiting = value;
    return copy;
}

RequestQueueOptions RequestQueueOptions::withParallelism(unsigned value) const
{
    RequestQueueOptions copy = *this;
    copy.parallelism = value;
    return copy;
}

std::unique_ptr<QueueOrder> makeQueueOrder(std::string_view strategy)
{
    static constexpr Strategy<QueueOrder> strategies[] = {
        { "rank-fair", makeStrategy<QueueOrder, RankFairOrder> },
        { "fifo", makeStrategy<QueueOrder, ArrivalOrder> },
        { "strict-priority", makeStrategy<QueueOrder, PriorityOrder> },
    };
    return findStrategy<QueueOrder>(strategies, strategy);
}

std::unique_ptr<RequestQueue> makeRequestQueue(std::string_view strategy, RequestQueueOptions options)
{
    std::unique_ptr<QueueOrder> order = makeQueueOrder(strategy);
    if (!order)
        return nullptr;
    return std::make_unique<OrderedRequestQueue>(std::move(order), options);
}

} // namespace hemlockchute
