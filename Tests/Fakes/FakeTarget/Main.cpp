#include "Session.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

using namespace Comfreysail;

/// Fake target of a service for tests and benchmarks. Serves HTTP/1.1 on a loopback address; POST /faults switches
/// faults on.
int main(int argumentCount, char** arguments)
{
    int exitCode = 0;
    auto const options = Fakes::parseOptions(argumentCount, arguments, exitCode);
    if (!options)
        return exitCode;
    try {
        boost::asio::io_context context(1);
        Fakes::TargetState state(context, *options);
        boost::asio::ip::tcp::endpoint const endpoint(boost::asio::ip::make_address(options->host), options->port);
        boost::asio::ip::tcp::acceptor acceptor(context, endpoint);
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&](auto, int) { context.stop(); });
        boost::asio::co_spawn(context, Fakes::acceptConnections(state, acceptor), boost::asio::detached);
        std::cout << "event=ready target=" << options->name << " address=" << acceptor.local_endpoint() << std::endl;
        context.run();
    } catch (std::exception const& error) {
        std::cerr << "FakeTarget: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
