#pragma once

#include "hemlockchute/agreement/ReplicatedGroup.h"
#include "hemlockchute/fleet/FleetMessages.h"

#include <memory>
#include <mutex>

namespace hemlockchute {

//==============================================================================
/**
    The agreed configuration: the one with the highest version, exactly as it was sent.

    A command with a version that is not higher changes nothing; every command is answered with the
    version in force. Thread safety: current() from any thread; the rest as ReplicatedStateMachine.
*/
class ConfigurationRegister : public ReplicatedStateMachine {
public:
    /** The configuration in force; version 0 before the first. */
    std::shared_ptr<const ConfigurationBody> current() const;

    Result<void, AgreementErrorCode> restore(std::string_view snapshot) override;
    ByteString snapshot() const override;
    Result<ByteString, AgreementErrorCode> apply(const LogEntry&) override;

private:
    mutable std::mutex m_lock;
    std::shared_ptr<const ConfigurationBody> m_current = std::make_shared<ConfigurationBody>();
};

} // namespace hemlockchute
