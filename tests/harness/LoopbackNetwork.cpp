#include "LoopbackNetwork.h"

#include <stdexcept>
#include <unistd.h>

namespace hemlockchute::harness {
namespace {

constexpr unsigned short lockPort = 9999;
constexpr int firstNetwork = 20;
constexpr int networkCount = 200;

} // namespace

LoopbackNetwork::LoopbackNetwork()
    : m_lock(m_context)
    , m_prefix(reservePrefix())
{
}

std::string LoopbackNetwork::reservePrefix()
{
    for (int i = 0; i < networkCount; ++i) {
        std::string prefix = "127." + std::to_string(firstNetwork + (::getpid() + i) % networkCount);
        boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(prefix + ".254.1"), lockPort);
        boost::system::error_code error;
        m_lock.open(endpoint.protocol());
        m_lock.bind(endpoint, error);
        if (!error)
            return prefix;
        m_lock.close();
    }
    throw std::runtime_error("every loopback network is taken");
}

} // namespace hemlockchute::harness
