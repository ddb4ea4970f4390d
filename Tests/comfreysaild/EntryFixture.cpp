#include "EntryFixture.h"

#include <platform/Platform.h>
#include <thread>

namespace Comfreysail::Tests {

namespace {

std::string const plan = R"(,"services":[{"name":"orders","health-path":"/health","max-conns":220,"protocol":"h1",
    "tls":false,"cold-start-s":3,"cold-per-s":4.8}],"limits":{"max-header-bytes":16384,"max-body-bytes":1000000,
    "header-timeout-s":3,"idle-timeout-s":15}})";

}

EntryTarget::EntryTarget(std::string id, ScriptedTarget::Script script)
    : id(std::move(id))
    , script(std::move(script))
{
    server = std::make_unique<ScriptedTarget>([this](RawConnection& connection, std::string const& head) {
        if (head.starts_with("GET /health ") && isDown)
            return false;
        if (head.starts_with("GET /health ")) {
            std::this_thread::sleep_for(std::chrono::milliseconds(loadDelayMilliseconds));
            if (loadScript)
                return loadScript(connection, head);
            connection.send(loadResponse());
            return true;
        }
        ++runs;
        bool const keepsOpen = this->script(connection, head);
        // The body would otherwise stand before the next head on this connection.
        if (keepsOpen)
            connection.readExactly(contentLengthOf(head));
        return keepsOpen;
    });
}

void EntryTarget::crash()
{
    isDown = true;
    server->stopListening();
}

void EntryTarget::restart()
{
    isDown = false;
    server->listenAgain();
}

std::string EntryTarget::loadResponse() const
{
    return wholeResponse("", "X-Comfreysail-Instance-Id: " + id + "\r\nX-Comfreysail-Backend-Load: " + load + "\r\n");
}

EntryFixture::EntryFixture()
{
    auto const line = m_platform.readLine();
    m_platformPort = static_cast<uint16_t>(std::stoi(line.substr(line.find(" port=") + 6)));
    m_controlPort = static_cast<uint16_t>(std::stoi(line.substr(line.find(" control_port=") + 14)));
    writePlan(1);
}

RawResponse EntryFixture::callPlatform(
    uint16_t port, std::string const& method, std::string const& path, std::string const& body) const
{
    auto connection = RawConnection::connectTo(port);
    connection.send(method + " " + path
        + " HTTP/1.1\r\nHost: platform\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return connection.readResponse();
}

void EntryFixture::writeRow(std::string const& table, std::string const& key, std::string const& value)
{
    Platform::RowTransaction transaction;
    transaction.puts.push_back({ "", key, value, 0, table });
    callPlatform(m_controlPort, "POST", "/rows-tx", Platform::transactionRequest(transaction, {}).body);
}

void EntryFixture::writeMember(std::string const& name, std::string const& text)
{
    writeRow(std::string(Platform::Table::members), name, text);
}

void EntryFixture::writeCrashRow(std::string const& key, std::string const& value)
{
    writeRow(std::string(Platform::Table::crashes), key, value);
}

std::vector<std::string> EntryFixture::storeKeys(std::string const& table)
{
    auto const request = Platform::rowsRequest({ table, "", "", "", 0 }, {});
    auto const page = Platform::decodeRowPage(callPlatform(m_controlPort, "GET", request.target, "").body);
    std::vector<std::string> keys;
    if (isError(page))
        return keys;
    for (auto const& row : valueOf(page).rows)
        keys.push_back(row.key);
    return keys;
}

void EntryFixture::writeOperatorRow(std::string const& key, std::string const& value) { writeRow("op", key, value); }

void EntryFixture::removeOperatorRow(std::string const& key)
{
    Platform::RowTransaction transaction;
    transaction.deletes.push_back({ "", key, "", 0, "op" });
    callPlatform(m_controlPort, "POST", "/rows-tx", Platform::transactionRequest(transaction, {}).body);
}

void EntryFixture::removeTarget(std::string const& id)
{
    Platform::RowTransaction transaction;
    transaction.deletes.push_back({ "", id, "", 0, "servers" });
    callPlatform(m_controlPort, "POST", "/rows-tx", Platform::transactionRequest(transaction, {}).body);
}

std::string EntryFixture::storeRow(std::string const& table, std::string const& key)
{
    auto const request = Platform::rowsRequest({ table, "", key, "", 1 }, {});
    auto const page = Platform::decodeRowPage(callPlatform(m_controlPort, "GET", request.target, "").body);
    if (isError(page) || valueOf(page).rows.empty() || valueOf(page).rows[0].key != key)
        return {};
    return valueOf(page).rows[0].value;
}

void EntryFixture::setFaults(std::string const& json) { callPlatform(m_controlPort, "POST", "/faults", json); }

void EntryFixture::copyStore() { callPlatform(m_controlPort, "POST", "/keep-copy", ""); }

void EntryFixture::restoreStore(std::chrono::milliseconds absence)
{
    setFaults(R"({"mode":"down"})");
    std::this_thread::sleep_for(absence);
    callPlatform(m_controlPort, "POST", "/restore-copy", "");
    setFaults(R"({"mode":"up"})");
}

void EntryFixture::writePlan(int version, std::string const& additionalRoutes)
{
    writeOperatorRow("config",
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routeText("read", "/read/", "safe") + ","
            + routeText("pay", "/pay/", "unsafe") + "," + routeText("files", "/files/", "download") + additionalRoutes
            + "]" + plan);
}

void EntryFixture::writeTenants(int version, std::string const& tenants)
{
    auto publicRoute = routeText("public", "/public/", "safe");
    publicRoute.insert(publicRoute.size() - 1, R"(,"public":true)");
    writeOperatorRow("config",
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routeText("read", "/read/", "safe") + ","
            + routeText("pay", "/pay/", "unsafe") + "," + routeText("files", "/files/", "download") + "," + publicRoute
            + R"(],"services":[{"name":"orders","health-path":"/health","max-conns":220}],
            "limits":{"max-header-bytes":16384,"max-body-bytes":1000000})"
            + (tenants.empty() ? std::string() : R"(,"tenants":)" + tenants) + "}");
}

EntryTarget& EntryFixture::addTarget(std::string const& id, ScriptedTarget::Script script, std::string const& version)
{
    m_targets.push_back(std::make_unique<EntryTarget>(id, std::move(script)));
    registerTarget(*m_targets.back(), "ready", version);
    return *m_targets.back();
}

void EntryFixture::registerTarget(
    EntryTarget const& target, std::string const& state, std::string const& version, int sequence, int startedAt)
{
    writeRow("servers", target.id,
        R"({"service":"orders","addr":"127.0.0.1:)" + std::to_string(target.server->port())
            + R"(","zone":"pos-hall","version":")" + version + R"(","slots":2,"state":")" + state
            + R"(","cold-left-s":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(startedAt)
            + "}");
}

DaemonProcess& EntryFixture::startDaemon(DaemonOptions options)
{
    if (!options.platformPort)
        options.platformPort = m_platformPort;
    m_daemons.push_back(std::make_unique<DaemonProcess>(options));
    return *m_daemons.back();
}

void EntryFixture::stopAll()
{
    m_daemons.clear();
    m_targets.clear();
}

std::string EntryFixture::requestText(std::string const& method, std::string const& path, std::string const& id,
    std::string const& body, unsigned milliseconds)
{
    auto const length = body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + path + " HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: " + id
        + "\r\nX-Comfreysail-Deadline-Ms: " + std::to_string(milliseconds) + "\r\n" + length + "\r\n" + body;
}

RawResponse EntryFixture::call(std::string const& method, std::string const& path, std::string const& body)
{
    auto connection = daemon().connect();
    connection.send(requestText(method, path, "id" + std::to_string(++m_requests), body));
    return connection.readResponse();
}

std::string routeText(std::string const& name, std::string const& prefix, std::string const& kind)
{
    return R"({"name":")" + name + R"(","host":"orders.test","prefix":")" + prefix + R"(","kind":")" + kind
        + R"(","timeout-s":1,"target-latency-s":0.3,"priority":1,"service":"orders","max-attempts":2})";
}

size_t contentLengthOf(std::string const& head)
{
    std::string const name = "\r\nContent-Length: ";
    auto const begin = head.find(name);
    return begin == std::string::npos ? 0 : std::stoul(head.substr(begin + name.size()));
}

std::string requestIdOf(std::string const& head)
{
    std::string const name = "X-Comfreysail-Request-Id: ";
    auto const begin = head.find(name) + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string signedResponse(std::string const& head, std::string const& body, std::string const& status)
{
    return wholeResponse(body,
        "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\nX-Comfreysail-Backend-Signature: s." + requestIdOf(head)
            + "\r\n",
        status);
}

bool eventually(std::function<bool()> const& condition, std::chrono::milliseconds time)
{
    auto const deadline = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

}
