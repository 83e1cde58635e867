#pragma once

#include "hemlockchute/state/Commands.h"

namespace hemlockchute {

//==============================================================================
/**
    How many replicas of each model each data centre may have loaded.

    A grant never raises the sum over the data centres above the model's cap, and permits do not
    expire. Lowering the cap revokes nothing; the answers then tell the largest holders how many
    permits to keep. Thread safety: one thread at a time.

    @see StateMachine
*/
class PermitTable {
public:
    /** The permits of one data centre for one model. */
    struct Holding {
        unsigned held = 0;
        /** The term and sequence of the last command applied. */
        FencingNumber fencing;
        std::uint64_t sequence = 0;
    };

    using Holdings = std::map<DataCentreName, Holding>;

    /** Raises a holding as far as the cap allows. Precondition: the term is current. */
    PermitAnswer request(const RequestPermits&, unsigned cap);
    /** Lowers a holding. Precondition: the term is current. */
    PermitAnswer returnPermits(const ReturnPermits&, unsigned cap);
    /** The answer to a command whose term is not current: what the data centre holds, unchanged. */
    PermitAnswer refuse(const DataCentreName&, const ModelName&, unsigned cap) const;

    const std::map<ModelName, Holdings>& holdings() const { return m_holdings; }
    /** Replaces all holdings. */
    void restore(std::map<ModelName, Holdings> holdings) { m_holdings = std::move(holdings); }

private:
    PermitAnswer answer(bool accepted, const DataCentreName&, const ModelName&, unsigned cap) const;

    std::map<ModelName, Holdings> m_holdings;
};

} // namespace hemlockchute
