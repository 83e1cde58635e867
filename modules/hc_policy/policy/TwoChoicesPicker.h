#pragma once

#include "hemlockchute/policy/ServerPicker.h"

namespace hemlockchute {

//==============================================================================
/**
    The better of two servers drawn at random, by load and cached prefix.

    Load is this router's own requests, which it knows, plus what the server reported of others',
    which counts for less as the report ages. A cached prefix counts as saved load, and for less as
    its news ages. Two random choices keep many routers from rushing to the same server.

    @see LeastOutstandingPicker
*/
class TwoChoicesPicker : public ServerPicker {
public:
    std::optional<std::size_t> pick(const std::vector<ServerCandidate>&, std::uint64_t random) const override;
};

} // namespace hemlockchute
