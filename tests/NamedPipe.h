#pragma once

#include "TemporaryFolder.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fcntl.h>
#include <sys/stat.h>
#include <thread>

namespace hemlockchute {

/** A named pipe whose read end is drained only by readAll(), to simulate a blocked reader. */
class NamedPipe {
public:
    NamedPipe()
        : m_path(m_folder.path / "pipe")
    {
        BOOST_REQUIRE(mkfifo(m_path.c_str(), 0600) == 0);
        m_reader = open(m_path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
        BOOST_REQUIRE(m_reader >= 0);
    }
    ~NamedPipe() { close(m_reader); }

    const std::filesystem::path& path() const { return m_path; }

    /** Reads until nothing has been written for one second. */
    std::string readAll()
    {
        std::string text;
        for (int idlePolls = 0; idlePolls < 50;) {
            char buffer[65536];
            ssize_t count = read(m_reader, buffer, sizeof buffer);
            if (count > 0) {
                text.append(buffer, static_cast<std::size_t>(count));
                idlePolls = 0;
                continue;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            ++idlePolls;
        }
        return text;
    }

private:
    TemporaryFolder m_folder;
    std::filesystem::path m_path;
    int m_reader = -1;
};

} // namespace hemlockchute
