#include "StandIn.h"

#include "hemlockchute/settings/SettingsFile.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

using namespace hemlockchute;
using namespace hemlockchute::fakes;

namespace {

constexpr const char* usage = R"(Plays one system outside hemlockchute.

Usage:
  hemlock-stand-in engine --listen=ADDRESS [--name=NAME] [--memory-mib=N] [--slots=N] [--ignore-fencing] [--token-us=N] [--load-ms=N] [--store=ADDRESS]
  hemlock-stand-in service --listen=ADDRESS [--name=NAME]
  hemlock-stand-in platform --listen=ADDRESS --hosts=FILE
  hemlock-stand-in weight-store --listen=ADDRESS [--per-second=N] [--at-once=N] [--load-ms=N]

Options:
  --listen=ADDRESS  IP number and port.
  --name=NAME       Its name [default: stand-in].
  --memory-mib=N    Memory of an engine [default: 16384].
  --slots=N         Requests an engine runs at once [default: 8].
  --ignore-fencing  The engine takes orders of any fencing number.
  --token-us=N      Time for a token [default: 5000].
  --load-ms=N       Time for a load [default: 200].
  --store=ADDRESS   The weight store that an engine loads from.
  --hosts=FILE      A JSON array of hosts.
  --per-second=N    Loads that may begin in a second [default: 10].
  --at-once=N       Loads that run at full speed at once [default: 4].
)";

using Arguments = std::map<std::string, docopt::value>;

std::string textArgument(const Arguments& arguments, const char* name)
{
    const docopt::value& value = arguments.at(name);
    return value ? value.asString() : std::string();
}

std::int64_t numberArgument(const Arguments& arguments, const char* name)
{
    return std::stoll(textArgument(arguments, name));
}

boost::json::array readHosts(const std::string& file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return boost::json::parse(text.str()).as_array();
}

std::unique_ptr<StandIn> makeStandIn(const Arguments& arguments)
{
    auto loadTime = std::chrono::milliseconds(numberArgument(arguments, "--load-ms"));
    if (arguments.at("engine").asBool()) {
        EngineOptions options;
        options.name = textArgument(arguments, "--name");
        options.memoryBytes = static_cast<std::uint64_t>(numberArgument(arguments, "--memory-mib")) << 20U;
        options.slots = static_cast<unsigned>(numberArgument(arguments, "--slots"));
        options.enforcesFencing = !arguments.at("--ignore-fencing").asBool();
        options.tokenTime = std::chrono::microseconds(numberArgument(arguments, "--token-us"));
        options.loadTime = loadTime;
        options.weightStore = textArgument(arguments, "--store");
        return makeEngine(options);
    }
    if (arguments.at("service").asBool())
        return makeService(textArgument(arguments, "--name"));
    if (arguments.at("platform").asBool())
        return makePlatform(readHosts(textArgument(arguments, "--hosts")));
    return makeWeightStore(static_cast<double>(numberArgument(arguments, "--per-second")), static_cast<unsigned>(numberArgument(arguments, "--at-once")), loadTime);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Arguments arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    std::unique_ptr<StandIn> standIn = makeStandIn(arguments);
    boost::asio::io_context context;
    HttpServer server(context, HttpServer::Options().withIdleTimeout(1h), [&](HttpExchange& exchange) { return standIn->handle(exchange); });
    auto endpoint = parseEndpoint(textArgument(arguments, "--listen"));
    auto listening = endpoint ? server.listen(*endpoint) : failure(HttpServerErrorCode::ListenFailed, "no such address");
    if (!listening) {
        std::cerr << listening.error().detail << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    std::thread second([&] { context.run(); });
    context.run();
    second.join();
    return 0;
}
