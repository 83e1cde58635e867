#pragma once

#include "hemlockchute/policy/ServerPicker.h"

namespace hemlockchute {

//==============================================================================
/**
    Power of two random choices: draws two servers and picks the better one by load and prompt cache.

    The load is this router's in-flight requests plus those of others according to the server's last
    report, weighted down as the report ages. A cached prompt prefix reduces the load, and is
    weighted down as that information ages. Drawing at random keeps many routers from choosing the
    same server at once.

    @see LeastOutstandingPicker
*/
class TwoChoicesPicker : public ServerPicker {
public:
    std::optional<std::size_t> pick(const std::vector<ServerCandidate>&, std::uint64_t random) const override;
};

} // namespace hemlockchute
