#include "gateway/AccessControl.h"

#include <algorithm>

namespace hemlockchute {

AccessControl::Options AccessControl::Options::withRevocation(std::optional<Duration> value) const
{
    Options copy = *this;
    copy.revocation = value;
    return copy;
}

void AccessControl::noteConfirmed(Instant at)
{
    m_confirmed = std::max(m_confirmed.value_or(at), at);
}

bool AccessControl::isConfirmed(Instant now) const
{
    if (!m_options.revocation)
        return true;
    auto lifetime = std::chrono::duration_cast<Duration>(*m_options.revocation * m_options.usableShare);
    return m_confirmed && now - *m_confirmed < lifetime;
}

AccessControl::Decision AccessControl::check(const RouteConfiguration& configuration, const Route& route, const std::string& key, Instant now) const
{
    if (!configuration.requiresKeys())
        return {};
    bool isCertain = isConfirmed(now);
    const Workspace* workspace = isCertain ? configuration.findWorkspace(key) : nullptr;
    if (workspace || route.isPublic)
        return { Verdict::Granted, workspace };
    // A key that is not known here may have been added since.
    bool mayBeNewer = !isCertain && !key.empty();
    return { mayBeNewer ? Verdict::Unconfirmed : Verdict::Unauthorized, nullptr };
}

} // namespace hemlockchute
