#include "../TemporaryFolder.h"
#include "Process.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hemlockchute::harness;

BOOST_AUTO_TEST_SUITE(ProcessTests)

BOOST_AUTO_TEST_CASE(aClosedConnectionStaysOpenInAProcessStartedMeanwhile)
{
    hemlockchute::TemporaryFolder folder;
    std::array<int, 2> sockets {};
    BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    Process process("/bin/sleep", { "10" }, folder.path / "output");
    ::close(sockets[0]);
    pollfd peer { sockets[1], POLLIN, 0 };
    BOOST_TEST(::poll(&peer, 1, 2000) == 1);
    BOOST_TEST((peer.revents & POLLHUP) != 0);
    ::close(sockets[1]);
}

BOOST_AUTO_TEST_SUITE_END()
