#include "LoadCallers.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

using namespace Comfreysail::Benchmarks;

namespace {

boost::asio::awaitable<void> runAll(LoadCallers& callers, boost::asio::io_context& context)
{
    co_await callers.run();
    std::cout << callers.report.finalLine(co_await callers.readExecutions()) << std::endl;
    context.stop();
}

}

/// Generates a mixed load at a fixed rate and checks every answer. The last line of the output has the results.
int main(int argumentCount, char** arguments)
{
    int exitCode = 0;
    auto const options = parseOptions(argumentCount, arguments, exitCode);
    if (!options)
        return exitCode;
    boost::asio::io_context context(1);
    LoadCallers callers(context, *options);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto error, int) {
        if (!error)
            context.stop();
    });
    boost::asio::co_spawn(context, runAll(callers, context), [](std::exception_ptr const& failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
    try {
        context.run();
    } catch (std::exception const& error) {
        std::cerr << "LoadGenerator: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
