#pragma once

#include "hemlockchute/state/Commands.h"

#include <map>
#include <optional>
#include <set>

namespace hemlockchute {

//==============================================================================
/**
    The replica permits that a data centre holds, as its leader knows them during one term.

    One command per model is under way at a time. What is given back counts as gone before the
    command leaves; what is asked for counts only once it was answered. Thread safety: one thread
    at a time.
*/
class PermitLedger {
public:
    PermitLedger(DataCentreName, FencingNumber);

    /** Replicas of a model that may be loaded. */
    unsigned usable(const ModelName&) const;
    /** Permits held, also those to be given back. */
    unsigned held(const ModelName&) const;
    /** True once the keepers have said what is held. */
    bool isKnown(const ModelName&) const;
    /** Models with permits, or asked about. */
    std::set<ModelName> models() const;

    /** The command that asks for permits up to `wanted`; nothing while another is under way. `wanted` 0 only asks what is held. */
    std::optional<RequestPermits> request(const ModelName&, unsigned wanted);
    /** The command that gives permits back down to `kept`; nothing while another is under way. Precondition: at most `kept` replicas may be loaded. */
    std::optional<ReturnPermits> giveBack(const ModelName&, unsigned kept);
    void answered(const ModelName&, const PermitAnswer&);
    void failed(const ModelName&);

private:
    struct Entry {
        unsigned held = 0;
        unsigned allowed = 0;
        bool isKnown = false;
        bool isUnderWay = false;
    };

    DataCentreName m_dataCentre;
    FencingNumber m_fencing;
    std::uint64_t m_sequence = 0;
    std::map<ModelName, Entry> m_entries;
};

} // namespace hemlockchute
