#include "controller/PermitLedger.h"

#include <algorithm>

namespace hemlockchute {

PermitLedger::PermitLedger(DataCentreName dataCentre, FencingNumber fencing)
    : m_dataCentre(std::move(dataCentre))
    , m_fencing(fencing)
{
}

unsigned PermitLedger::usable(const ModelName& model) const
{
    auto found = m_entries.find(model);
    return found == m_entries.end() ? 0 : std::min(found->second.held, found->second.allowed);
}

unsigned PermitLedger::held(const ModelName& model) const
{
    auto found = m_entries.find(model);
    return found == m_entries.end() ? 0 : found->second.held;
}

bool PermitLedger::isKnown(const ModelName& model) const
{
    auto found = m_entries.find(model);
    return found != m_entries.end() && found->second.isKnown;
}

std::set<ModelName> PermitLedger::models() const
{
    std::set<ModelName> models;
    for (const auto& [model, entry] : m_entries)
        models.insert(model);
    return models;
}

std::optional<RequestPermits> PermitLedger::request(const ModelName& model, unsigned wanted)
{
    Entry& entry = m_entries[model];
    if (entry.isUnderWay)
        return std::nullopt;
    entry.isUnderWay = true;
    return RequestPermits { m_dataCentre, m_fencing, model, wanted, ++m_sequence };
}

std::optional<ReturnPermits> PermitLedger::giveBack(const ModelName& model, unsigned kept)
{
    Entry& entry = m_entries[model];
    if (entry.isUnderWay || entry.held <= kept)
        return std::nullopt;
    entry.isUnderWay = true;
    entry.held = kept;
    return ReturnPermits { m_dataCentre, m_fencing, model, kept, ++m_sequence };
}

void PermitLedger::answered(const ModelName& model, const PermitAnswer& answer)
{
    Entry& entry = m_entries[model];
    entry.isUnderWay = false;
    if (!answer.accepted)
        return;
    entry.isKnown = true;
    entry.held = answer.held;
    entry.allowed = answer.allowed;
}

void PermitLedger::failed(const ModelName& model)
{
    m_entries[model].isUnderWay = false;
}

} // namespace hemlockchute
