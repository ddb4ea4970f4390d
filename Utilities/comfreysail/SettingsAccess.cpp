#include "SettingsAccess.h"
#include <LibSettings/Parse.h>
#include <LibStore/SettingsStore.h>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <thread>

namespace Comfreysail::Tool {

Core::Result<SettingsFile> readSettingsFile(std::string const& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return Core::Error { Core::ErrorKind::InvalidSettings, path + ": " + std::strerror(errno) };
    std::string toml { std::istreambuf_iterator<char>(stream), {} };
    if (stream.bad())
        return Core::Error { Core::ErrorKind::InvalidSettings, path + ": cannot be read" };
    auto parsed = Settings::parseSettings(toml, path);
    if (auto const* faults = std::get_if<Settings::SettingsFaults>(&parsed))
        return Settings::toError(*faults);
    return SettingsFile { std::move(toml), std::get<Settings::SettingsTreePointer>(std::move(parsed)) };
}

Core::Result<Settings::SettingsSnapshot> readSettingsInForce(ToolContext const& context)
{
    while (true) {
        auto const head = ToolContext::await<std::optional<Store::SettingsHead>>([&](auto callback) {
            Store::readSettingsHead(context.store(), context.callDeadline(), std::move(callback));
        });
        auto error = Core::isError(head) ? std::optional(Core::errorOf(head)) : std::nullopt;
        if (!error) {
            if (!Core::valueOf(head))
                return Settings::SettingsSnapshot { {}, std::make_shared<Settings::SettingsTree const>(), {} };
            auto snapshot = ToolContext::await<Settings::SettingsSnapshot>([&](auto callback) {
                Store::readSettingsSnapshot(
                    context.store(), *Core::valueOf(head), context.callDeadline(), std::move(callback));
            });
            if (!Core::isError(snapshot))
                return snapshot;
            error = Core::errorOf(snapshot);
        }
        if (error->kind != Core::ErrorKind::StoreUnavailable || !waitForRetry(context.deadline()))
            return *error;
    }
}

bool waitForRetry(Core::Instant deadline)
{
    constexpr Core::Duration interval = std::chrono::milliseconds(100);
    if (Core::monotonicNow() + interval >= deadline)
        return false;
    std::this_thread::sleep_for(interval);
    return true;
}

}
