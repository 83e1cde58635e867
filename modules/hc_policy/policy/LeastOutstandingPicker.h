#pragma once

#include "hemlockchute/policy/ServerPicker.h"

namespace hemlockchute {

/** The server with the fewest of this router's own requests; the first of several. @see TwoChoicesPicker */
class LeastOutstandingPicker : public ServerPicker {
public:
    std::optional<std::size_t> pick(const std::vector<ServerCandidate>&, std::uint64_t random) const override;
};

} // namespace hemlockchute
