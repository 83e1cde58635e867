#include "hemlockchute/policy/EjectionTable.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr std::size_t wholePerMille = 1000;

} // namespace

EjectionTable::Options EjectionTable::Options::withConsecutiveFailures(unsigned value) const
{
    Options copy = *this;
    copy.consecutiveFailures = value;
    return copy;
}

EjectionTable::Options EjectionTable::Options::withFirstEjection(Duration value) const
{
    Options copy = *this;
    copy.firstEjection = value;
    return copy;
}

EjectionTable::Options EjectionTable::Options::withMinimumUsablePerMille(unsigned value) const
{
    Options copy = *this;
    copy.minimumUsablePerMille = value;
    return copy;
}

EjectionTable::EjectionTable(Options options)
    : m_options(options)
{
}

void EjectionTable::noteSuccess(const BackendServerName& server)
{
    m_records.erase(server);
}

void EjectionTable::noteFailure(const BackendServerName& server, Instant now)
{
    Record& record = m_records[server];
    if (record.ejections > 0 && now < record.ejectedUntil)
        return;
    ++record.failures;
    // After an ejection a single failure ejects the server again.
    if (record.ejections == 0 && record.failures < m_options.consecutiveFailures)
        return;
    Duration length = m_options.firstEjection;
    for (unsigned number = 0; number < record.ejections && length < m_options.longestEjection; ++number)
        length *= 2;
    ++record.ejections;
    record.failures = 0;
    record.ejectedUntil = now + std::min(length, m_options.longestEjection);
}

void EjectionTable::forget(const BackendServerName& server)
{
    m_records.erase(server);
}

std::vector<BackendServerName> EjectionTable::usable(const std::vector<BackendServerName>& servers, Instant now) const
{
    std::vector<std::pair<Instant, std::size_t>> ejected;
    std::vector<bool> isUsable(servers.size(), true);
    for (std::size_t index = 0; index < servers.size(); ++index) {
        auto found = m_records.find(servers[index]);
        if (found == m_records.end() || found->second.ejections == 0 || now >= found->second.ejectedUntil)
            continue;
        ejected.emplace_back(found->second.ejectedUntil, index);
        isUsable[index] = false;
    }
    std::size_t kept = (servers.size() * m_options.minimumUsablePerMille + wholePerMille - 1) / wholePerMille;
    kept = std::clamp<std::size_t>(kept, std::min<std::size_t>(1, servers.size()), servers.size());
    // Too many are ejected: those whose ejection ends first are used again.
    std::sort(ejected.begin(), ejected.end());
    std::size_t usableCount = servers.size() - ejected.size();
    for (const auto& [until, index] : ejected) {
        if (usableCount >= kept)
            break;
        isUsable[index] = true;
        ++usableCount;
    }

    std::vector<BackendServerName> result;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        if (isUsable[index])
            result.push_back(servers[index]);
    }
    return result;
}

} // namespace hemlockchute
