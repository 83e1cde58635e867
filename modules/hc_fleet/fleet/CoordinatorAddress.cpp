#include "hemlockchute/fleet/CoordinatorAddress.h"

namespace hemlockchute {
namespace {

constexpr unsigned portBits = 16;

} // namespace

KeeperId keeperIdOf(const Endpoint& endpoint)
{
    return KeeperId((std::uint64_t(endpoint.address().to_v4().to_uint()) << portBits) | endpoint.port());
}

Endpoint endpointOf(KeeperId id)
{
    auto address = static_cast<std::uint32_t>(id.value() >> portBits);
    return { boost::asio::ip::address_v4(address), static_cast<unsigned short>(id.value()) };
}

} // namespace hemlockchute
