#include "Daemons.h"
#include <boost/json.hpp>

namespace json = boost::json;

namespace Comfreysail::Tool {

namespace {

Core::Error malformedStatus(std::string const& field)
{
    return { Core::ErrorKind::MalformedMessage, "/status has no valid field \"" + field + '"' };
}

void parseStatus(DaemonStatus& daemon, std::string const& body)
{
    json::error_code code;
    auto const value = json::parse(body, code);
    auto const find = [&](char const* field) {
        return !code && value.is_object() ? value.get_object().if_contains(field) : nullptr;
    };
    auto const* name = find("name");
    auto const* revision = find("revision");
    auto const* ready = find("ready");
    if (!name || !name->is_string())
        daemon.error = malformedStatus("name");
    else if (!revision || !revision->is_int64() || revision->get_int64() < 0)
        daemon.error = malformedStatus("revision");
    else if (!ready || !ready->is_bool())
        daemon.error = malformedStatus("ready");
    if (daemon.error)
        return;
    daemon.name = name->get_string();
    daemon.revision = static_cast<uint64_t>(revision->get_int64());
    daemon.isReady = ready->get_bool();
}

}

Core::Result<std::vector<DaemonStatus>> listDaemons(ToolContext const& context)
{
    std::vector<DaemonStatus> daemons;
    for (auto const& address : context.invocation().daemons)
        daemons.push_back({ .name = address.text(), .address = address });
    if (!daemons.empty())
        return daemons;
    auto vms = ToolContext::await<std::vector<Store::Vm>>(
        [&](auto callback) { context.store().listVms(context.callDeadline(), std::move(callback)); });
    if (Core::isError(vms))
        return Core::errorOf(vms);
    for (auto const& vm : Core::valueOf(vms)) {
        if (vm.state == Store::Vm::State::Live)
            daemons.push_back({ .name = vm.name, .address = { vm.address, context.invocation().adminPort } });
    }
    return daemons;
}

void readStatus(ToolContext const& context, std::vector<DaemonStatus>& daemons, Core::Instant deadline)
{
    std::vector<HostPort> addresses;
    for (auto const& daemon : daemons)
        addresses.push_back(daemon.address);
    auto const answers = context.callDaemons(addresses, ToolContext::Method::Get, "/status", {}, deadline);
    for (size_t index = 0; index < daemons.size(); ++index) {
        daemons[index].error.reset();
        if (Core::isError(answers[index]))
            daemons[index].error = Core::errorOf(answers[index]);
        else
            parseStatus(daemons[index], Core::valueOf(answers[index]));
    }
}

}
