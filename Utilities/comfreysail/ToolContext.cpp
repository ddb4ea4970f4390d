#include "ToolContext.h"
#include <LibStore/HttpCaller.h>
#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <platform/RowStore.h>
#include <thread>

namespace Comfreysail::Tool {

namespace {

// Long enough for all steps of a change on a slow store, short enough to leave time for a retry.
constexpr Core::Duration maxCallTime = std::chrono::seconds(5);

}

struct ToolContext::Network {
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    std::map<std::string, std::shared_ptr<Store::HttpCaller>> callers;
    std::thread thread { [this] { context.run(); } };

    ~Network()
    {
        context.stop();
        thread.join();
    }

    Store::HttpCaller& callerOf(HostPort const& daemon)
    {
        auto& caller = callers[daemon.text()];
        if (!caller) {
            caller = std::make_shared<Store::HttpCaller>(context.get_executor(),
                Store::HttpStoreOptions {
                    .address = daemon.address, .port = daemon.port, .subject = "the daemon at " + daemon.text() });
        }
        return *caller;
    }
};

ToolContext::ToolContext(Invocation const& invocation)
    : m_invocation(invocation)
    , m_deadline(Core::monotonicNow() + invocation.timeout)
    , m_network(std::make_unique<Network>())
{
    if (!invocation.platform)
        return;
    m_store = Platform::makeStorePort(m_network->context.get_executor(),
        Store::HttpStoreOptions { .address = invocation.platform->address, .port = invocation.platform->port });
}

ToolContext::~ToolContext() = default;

Core::Instant ToolContext::callDeadline() const { return std::min(m_deadline, Core::monotonicNow() + maxCallTime); }

std::vector<Core::Result<std::string>> ToolContext::callDaemons(std::vector<HostPort> const& daemons, Method method,
    std::string const& path, std::string const& body, Core::Instant deadline) const
{
    using Answer = Store::HttpCaller::Answer;
    auto const isPost = method == Method::Post;
    auto const verb = isPost ? boost::beast::http::verb::post : boost::beast::http::verb::get;
    std::vector<std::future<Core::Result<Answer>>> answers;
    for (auto const& daemon : daemons) {
        auto const promise = std::make_shared<std::promise<Core::Result<Answer>>>();
        answers.push_back(promise->get_future());
        m_network->callerOf(daemon).send({ verb, path, body, isPost, deadline },
            [promise](Core::Result<Answer> result) { promise->set_value(std::move(result)); });
    }
    std::vector<Core::Result<std::string>> results;
    for (auto& pending : answers) {
        auto answer = pending.get();
        if (Core::isError(answer)) {
            results.emplace_back(Core::errorOf(answer));
            continue;
        }
        auto value = Core::takeValue(std::move(answer));
        if (value.status == 200)
            results.emplace_back(std::move(value.body));
        else
            results.emplace_back(Core::Error { Core::ErrorKind::PeerUnavailable,
                "status " + std::to_string(value.status) + ": " + value.body.substr(0, 200) });
    }
    return results;
}

Core::Result<Store::HttpCaller::Answer> ToolContext::readFromDaemon(
    HostPort const& daemon, std::string const& path, std::string const& authorization, Core::Instant deadline) const
{
    using Answer = Store::HttpCaller::Answer;
    Store::HttpCaller::Request request;
    request.method = boost::beast::http::verb::get;
    request.target = path;
    request.deadline = deadline;
    if (!authorization.empty())
        request.fields.emplace_back("Authorization", authorization);
    auto answer = await<Answer>(
        [&](auto callback) { m_network->callerOf(daemon).send(std::move(request), std::move(callback)); });
    if (Core::isError(answer))
        return Core::Error { Core::ErrorKind::PeerUnavailable, Core::errorOf(answer).detail };
    return answer;
}

}
