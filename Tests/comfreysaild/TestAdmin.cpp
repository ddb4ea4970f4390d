#include <LibSettings/Settings.h>
#include <LibStore/Store.h>
#include <Support/DaemonProcess.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Tests;

namespace {

RawResponse postSettings(DaemonProcess const& daemon, std::string const& body)
{
    auto connection = RawConnection::connectTo(daemon.adminPort());
    connection.send(
        "POST /settings HTTP/1.1\r\nHost: admin\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return connection.readResponse();
}

std::string settingsBody(uint64_t revision, std::string const& toml)
{
    return Store::SettingsHead { { revision, "change", Settings::settingsHash(toml) }, toml, {}, 0 }.toJson();
}

}

TEST_CASE("Admin_PushedSettings_AreAdoptedWhenNewerAndValid", "[Admin]")
{
    DaemonProcess const daemon({ .targets = { { 1 } } });
    auto const inForce = daemon.admin("/settings").body;
    auto const changed = inForce + "# changed\n";
    CHECK(postSettings(daemon, "no JSON").status() >= 400);
    CHECK(postSettings(daemon, settingsBody(9, "typo = 1")).status() == 422);
    CHECK(postSettings(daemon, settingsBody(1, changed)).status() == 409);
    CHECK(daemon.admin("/settings").body == inForce);
    CHECK(postSettings(daemon, settingsBody(2, changed)).status() == 200);
    CHECK(daemon.admin("/settings").body == changed);
    // Adopted settings must not be replaced by an older revision.
    CHECK(postSettings(daemon, settingsBody(1, inForce)).status() == 409);
    CHECK(daemon.admin("/settings").body == changed);
}
