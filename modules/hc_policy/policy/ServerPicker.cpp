#include "hemlockchute/policy/ServerPicker.h"

#include "policy/LeastOutstandingPicker.h"
#include "policy/StrategyTable.h"
#include "policy/TwoChoicesPicker.h"

namespace hemlockchute {

std::unique_ptr<ServerPicker> makeServerPicker(std::string_view strategy)
{
    static constexpr Strategy<ServerPicker> strategies[] = {
        { "two-choices", makeStrategy<ServerPicker, TwoChoicesPicker> },
        { "least-outstanding", makeStrategy<ServerPicker, LeastOutstandingPicker> },
    };
    return findStrategy<ServerPicker>(strategies, strategy);
}

} // namespace hemlockchute
