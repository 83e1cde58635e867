#include "hemlockchute/core/Kernel.h"
#include "hemlockchute/core/PluginRegistry.h"
#include "hemlockchute/core/RoleService.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <stdexcept>

using namespace hemlockchute;

namespace {

/** A role with one handler that throws, and a later one that ends the daemon. */
class ThrowingRole : public RoleService {
public:
    std::vector<std::string> configure(const std::filesystem::path&) override { return {}; }
    LogOptions logOptions() const override { return {}; }
    unsigned threadCount() const override { return 1; }
    Result<void, RoleErrorCode> start(boost::asio::io_context& context) override
    {
        boost::asio::post(context, [] { throw std::runtime_error("thrown by a handler"); });
        boost::asio::post(context, [] {
            hasGoneOn = true;
            std::raise(SIGTERM);
        });
        return {};
    }
    std::vector<std::string> reload(const std::filesystem::path&) override { return {}; }
    void stop(std::function<void()> done) override { done(); }

    static inline bool hasGoneOn = false;
};

const ScopedPluginRegistration<RoleService, ThrowingRole> registration("throwing");

/** The kernel leaves the daemon's signals blocked, as its process ends next. */
class ScopedSignalMask {
public:
    ScopedSignalMask() { ::pthread_sigmask(SIG_SETMASK, nullptr, &m_former); }
    ~ScopedSignalMask() { ::pthread_sigmask(SIG_SETMASK, &m_former, nullptr); }
    ScopedSignalMask(const ScopedSignalMask&) = delete;
    ScopedSignalMask& operator=(const ScopedSignalMask&) = delete;

private:
    sigset_t m_former {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(KernelTests)

/** Guards against a daemon that ends by itself, as an exception leaves one of its handlers. */
BOOST_AUTO_TEST_CASE(anExceptionThatLeavesAHandlerDoesNotEndTheDaemon)
{
    ScopedSignalMask mask;
    const char* arguments[] = { "hemlock-throwing", "--settings=none.toml" };
    BOOST_TEST(Kernel("throwing").run(2, arguments) == 0);
    BOOST_TEST(ThrowingRole::hasGoneOn);
}

BOOST_AUTO_TEST_SUITE_END()
