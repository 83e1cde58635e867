#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/fleet/FleetMessages.h"

#include <memory>
#include <mutex>

namespace hemlockchute {

//==============================================================================
/**
    The replicated route configuration: keeps the body with the highest version, byte for byte.

    A command whose version is not higher is ignored; the reply to every command is the version in
    force. Thread safety: current() from any thread; the rest as ReplicatedStateMachine.
*/
class ConfigurationRegister : public ReplicatedStateMachine {
public:
    /** The configuration in force; its version is 0 before the first command. */
    std::shared_ptr<const ConfigurationBody> current() const;

    Result<void, AgreementErrorCode> restore(std::string_view snapshot) override;
    ByteString snapshot() const override;
    Result<ByteString, AgreementErrorCode> apply(const LogEntry&) override;

private:
    mutable std::mutex m_lock;
    std::shared_ptr<const ConfigurationBody> m_current = std::make_shared<ConfigurationBody>();
};

} // namespace hemlockchute
