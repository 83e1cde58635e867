#pragma once

#include "hemlockchute/policy/ServerPicker.h"

namespace hemlockchute {

/** Picks the server with the fewest in-flight requests of this router; the first one on a tie. @see TwoChoicesPicker */
class LeastOutstandingPicker : public ServerPicker {
public:
    std::optional<std::size_t> pick(const std::vector<ServerCandidate>&, std::uint64_t random) const override;
};

} // namespace hemlockchute
