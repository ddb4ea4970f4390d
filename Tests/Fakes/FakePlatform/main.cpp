#include "PlatformServer.h"
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

namespace options = boost::program_options;

using Comfreysail::Fakes::CallRates;
using Comfreysail::Fakes::PlatformServer;

namespace {

int run(options::variables_map const& values)
{
    boost::asio::io_context context(1);
    auto const address = boost::asio::ip::make_address(values["host"].as<std::string>());
    std::optional<PlatformServer::Endpoint> control;
    if (values.contains("control-port"))
        control.emplace(address, values["control-port"].as<uint16_t>());
    CallRates const rates { values["writes-per-second"].as<unsigned>(), values["reads-per-second"].as<unsigned>() };
    PlatformServer server(context, { address, values["port"].as<uint16_t>() }, control, rates);
    server.start();
    std::cout << "listening host=" << address.to_string() << " port=" << server.mainEndpoint().port();
    if (server.controlEndpoint())
        std::cout << " control_port=" << server.controlEndpoint()->port();
    std::cout << std::endl;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { server.stop(); });
    context.run();
    return 0;
}

}

int main(int argc, char** argv)
{
    options::options_description description("FakePlatform: the platform's store of rows and objects in memory, for "
                                             "tests.\nOptions");
    description.add_options()("help", "print this help")(
        "host", options::value<std::string>()->default_value("127.0.0.1"), "address to listen on")("port",
        options::value<uint16_t>()->default_value(0),
        "port to listen on; 0 picks a free port and prints it")("control-port", options::value<uint16_t>(),
        "second port for /faults, /stats and writes by operators; with it, mode \"down\" refuses connections on the "
        "main port")("writes-per-second", options::value<unsigned>()->default_value(0),
        "rate limit for writes over all callers, 0 for none; calls above it are answered 429")("reads-per-second",
        options::value<unsigned>()->default_value(0),
        "rate limit for reads over all callers, 0 for none; calls above it are answered 429");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        return run(values);
    } catch (options::error const& error) {
        std::cerr << "FakePlatform: " << error.what() << '\n';
        return 2;
    } catch (std::exception const& error) {
        std::cerr << "FakePlatform: " << error.what() << '\n';
        return 1;
    }
}
