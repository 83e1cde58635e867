#pragma once

#include <filesystem>
#include <string>
#include <unistd.h>

namespace hemlockchute {

/** A temporary folder that is removed when the object is destroyed. */
struct TemporaryFolder {
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "hc_keeper_XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    std::filesystem::path path;
};

} // namespace hemlockchute
