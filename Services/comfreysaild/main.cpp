#include "CommandLine.h"
#include "Daemon.h"
#include "DaemonSettings.h"
#include "EntryDaemon.h"
#include <iostream>

int main(int argumentCount, char** arguments)
{
    using namespace Comfreysail;
    auto const parsed = Daemon::parseCommandLine(argumentCount, arguments);
    if (auto const* const exitNow = std::get_if<Daemon::ExitNow>(&parsed))
        return exitNow->code;
    auto const& commandLine = std::get<Daemon::CommandLine>(parsed);
    auto settings = Daemon::readDaemonSettings(commandLine.settingsPath);
    if (auto const* const faults = std::get_if<Settings::SettingsFaults>(&settings)) {
        for (auto const& fault : *faults)
            std::cerr << fault.text() << "\n";
        return Daemon::exitUsage;
    }
    if (commandLine.checkOnly) {
        std::cout << commandLine.settingsPath << ": valid\n";
        return Daemon::exitSuccess;
    }
    Telemetry::startLogging(arguments[0]);
    auto const& daemonSettings = std::get<Daemon::DaemonSettings>(settings);
    if (daemonSettings.placement == Daemon::PlacementMode::AskTargets)
        return Daemon::EntryDaemon(daemonSettings, commandLine.settingsPath).run();
    return Daemon::Daemon(daemonSettings).run();
}
