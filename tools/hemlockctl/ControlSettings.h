#pragma once

#include "hemlockchute/settings/SettingsFile.h"

#include <tl/expected.hpp>

namespace hemlockchute {

//==============================================================================
/**
    Settings of hemlockctl: the operator addresses of keepers and routers, and the operator's token.

    @code
    keepers = ["127.0.1.1:7104", "127.0.2.1:7104", "127.0.3.1:7104"]
    token_file = "token"
    routers = ["127.0.1.1:7201", "127.0.1.2:7201"]
    @endcode
*/
struct ControlSettings {
    std::vector<Endpoint> keepers;
    std::string token;
    /** Operator addresses of the routers, for reports. */
    std::vector<Endpoint> routers;

    /** Reads a settings file; on failure returns every fault found. Thread safety: any thread. */
    static tl::expected<ControlSettings, std::vector<std::string>> load(const std::filesystem::path&);
};

} // namespace hemlockchute
