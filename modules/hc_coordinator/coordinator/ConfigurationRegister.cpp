#include "coordinator/ConfigurationRegister.h"

namespace hemlockchute {

std::shared_ptr<const ConfigurationBody> ConfigurationRegister::current() const
{
    std::lock_guard guard(m_lock);
    return m_current;
}

Result<void, AgreementErrorCode> ConfigurationRegister::restore(std::string_view snapshot)
{
    auto configuration = decodeConfigurationBody(snapshot);
    if (!configuration)
        return failureBecause(AgreementErrorCode::StateUnusable, configuration.error());
    std::lock_guard guard(m_lock);
    m_current = std::make_shared<ConfigurationBody>(std::move(*configuration));
    return {};
}

ByteString ConfigurationRegister::snapshot() const
{
    return encodeConfigurationBody(*current());
}

Result<ByteString, AgreementErrorCode> ConfigurationRegister::apply(const LogEntry& entry)
{
    auto configuration = decodeConfigurationBody(entry.payload);
    if (!configuration)
        return failureBecause(AgreementErrorCode::Malformed, configuration.error());
    std::lock_guard guard(m_lock);
    if (configuration->version > m_current->version)
        m_current = std::make_shared<ConfigurationBody>(std::move(*configuration));
    return std::to_string(m_current->version.value());
}

} // namespace hemlockchute
