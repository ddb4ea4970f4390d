#include "DaemonSettings.h"

#include "EnvironmentSettings.h"
#include <LibSettings/Settings.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <iterator>
#include <set>

namespace Comfreysail::Daemon {

namespace {

using Settings::CheckedTable;
using Settings::IntegerRange;
using Settings::Presence;

constexpr int64_t minute = 60'000;
constexpr int64_t hour = 60 * minute;

bool isAnyText(std::string_view text) { return !text.empty(); }

Settings::TextRule const pathRule { isAnyText, "a path" };

constexpr double microsecondsPerSecond = 1e6;
constexpr double maxGraceSeconds = 86'400;
constexpr double maxNumber = 1e6;

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

bool isSeconds(std::string_view text)
{
    auto const value = parseNumber(text);
    return value && *value > 0 && *value <= maxGraceSeconds;
}

bool isNumber(std::string_view text)
{
    auto const value = parseNumber(text);
    return value && *value >= 0 && *value <= maxNumber;
}

Settings::TextRule const numberRule { isNumber, "a number from 0 to 1000000, as a text" };

bool isMemory(std::string_view text)
{
    auto const value = parseNumber(text);
    return value && *value >= 1 && *value <= maxNumber;
}

Settings::TextRule const memoryRule { isMemory, "a number of MiB from 1 to 1000000, as a text" };

bool isDescriptorCount(std::string_view text)
{
    constexpr double minDescriptors = 64;
    auto const value = parseNumber(text);
    return value && *value >= minDescriptors && *value <= maxNumber;
}

Settings::TextRule const descriptorRule { isDescriptorCount, "a number from 64 to 1000000, as a text" };

Settings::TextRule const secondsRule { isSeconds, "a number of seconds above 0, as a text" };

// Port 0 lets the operating system choose a port, which the daemon logs. Other daemons must know the peer and control
// ports in advance, so these cannot be 0.
ListenAddress readAddressOf(CheckedTable& table, int64_t minimumPort)
{
    ListenAddress address;
    if (auto const endpoint = table.text("endpoint", Settings::hostPortRule)) {
        auto const colon = endpoint->rfind(':');
        address.address = endpoint->substr(0, colon);
        address.port = static_cast<uint16_t>(std::stoul(endpoint->substr(colon + 1)));
        return address;
    }
    address.address = table.text("address", Settings::ipAddressRule, Presence::Required).value_or("");
    address.port = static_cast<uint16_t>(
        table.integer("port", IntegerRange { minimumPort, 65'535, "" }, Presence::Required).value_or(0));
    return address;
}

ListenAddress readAddress(CheckedTable& root, std::string_view key, int64_t minimumPort = 0)
{
    auto table = root.table(key, Presence::Required);
    if (!table)
        return {};
    auto address = readAddressOf(*table, minimumPort);
    table->refuseOtherKeys();
    return address;
}

Core::Duration readMilliseconds(CheckedTable& table, std::string_view key, int64_t maximum, Core::Duration fallback)
{
    auto const fallbackMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(table.integerOr(key, IntegerRange { 1, maximum, "ms" }, fallbackMilliseconds));
}

size_t readCount(CheckedTable& table, std::string_view key, IntegerRange const& range, size_t fallback)
{
    return static_cast<size_t>(table.integerOr(key, range, static_cast<int64_t>(fallback)));
}

DaemonLimits readLimits(CheckedTable& root)
{
    DaemonLimits limits;
    auto table = root.table("limits");
    if (!table)
        return limits;
    limits.maxConnections
        = readCount(*table, "max_connections", { 1, 1'000'000, "connections" }, limits.maxConnections);
    limits.maxHeaderBytes
        = readCount(*table, "max_header_bytes", { 1024, 1024 * 1024, "bytes" }, limits.maxHeaderBytes);
    limits.headerTimeout = readMilliseconds(*table, "header_timeout_ms", 10 * minute, limits.headerTimeout);
    limits.idleTimeout = readMilliseconds(*table, "idle_timeout_ms", hour, limits.idleTimeout);
    limits.stallTimeout = readMilliseconds(*table, "stall_timeout_ms", hour, limits.stallTimeout);
    limits.connectTimeout = readMilliseconds(*table, "connect_timeout_ms", minute, limits.connectTimeout);
    limits.maxHeaderFields
        = readCount(*table, "max_header_fields", { 16, 1'000'000, "fields" }, limits.maxHeaderFields);
    limits.maxRequestsInProgress
        = readCount(*table, "max_requests_in_progress", { 1, 1'000, "requests" }, limits.maxRequestsInProgress);
    limits.minSendRate = readCount(*table, "min_send_rate", { 0, 1'000'000, "bytes/s" }, limits.minSendRate);
    limits.minReadRate = readCount(*table, "min_read_rate", { 0, 1'000'000, "bytes/s" }, limits.minReadRate);
    limits.maxIdlePerTarget
        = readCount(*table, "max_idle_per_target", { 0, 10'000, "connections" }, limits.maxIdlePerTarget);
    table->refuseOtherKeys();
    return limits;
}

Core::Duration readSeconds(CheckedTable& table, std::string_view key, Core::Duration fallback)
{
    auto const text = table.text(key, secondsRule);
    return text ? Core::Duration(std::llround(std::stod(*text) * microsecondsPerSecond)) : fallback;
}

std::optional<DutySettings> readDuties(CheckedTable& root)
{
    auto table = root.table("duties");
    if (!table)
        return std::nullopt;
    DutySettings duties;
    duties.endpoint = readAddressOf(*table, 1);
    duties.kinds = table->texts("kinds", Settings::nameRule, Presence::Required);
    if (auto const calls = table->text("calls_per_second", numberRule))
        duties.callsPerSecond = std::stod(*calls);
    duties.reportWindow = readSeconds(*table, "report_window_seconds", duties.reportWindow);
    duties.reportDue = readSeconds(*table, "report_due_seconds", duties.reportDue);
    duties.lease = readSeconds(*table, "lease_seconds", duties.lease);
    table->refuseOtherKeys();
    return duties;
}

double readPercent(CheckedTable& table, std::string_view key, double fallback)
{
    constexpr double percent = 100;
    auto const fallbackPercent = static_cast<int64_t>(std::llround(fallback * percent));
    return static_cast<double>(table.integerOr(key, IntegerRange { 0, 100, "%" }, fallbackPercent)) / percent;
}

Overload::OverloadOptions readOverload(CheckedTable& root)
{
    Overload::OverloadOptions options;
    // Off unless a deployment asks for it: on the users' bench it refused callers that are served without it.
    options.isEnabled = false;
    auto table = root.table("overload");
    if (!table)
        return options;
    options.isEnabled = table->boolean("shedding").value_or(options.isEnabled);
    options.shortBelow = readPercent(*table, "short_below_percent", options.shortBelow);
    options.ampleAbove = readPercent(*table, "ample_above_percent", options.ampleAbove);
    options.minSentPart = readPercent(*table, "min_sent_percent", options.minSentPart);
    if (options.ampleAbove < options.shortBelow)
        table->addFault("ample_above_percent", "must not be less than short_below_percent");
    table->refuseOtherKeys();
    return options;
}

std::optional<size_t> readMaxDescriptors(CheckedTable& root)
{
    auto const text = root.text("max_fds", descriptorRule);
    return text ? std::optional(static_cast<size_t>(std::stod(*text))) : std::nullopt;
}

/// Takes from the environment what the file does not state. Returns the faults found there.
Settings::SettingsFaults readEnvironment(DaemonSettings& settings)
{
    Settings::CheckedDocument const document(environmentToml(), "environment");
    auto root = document.root();
    auto const maxDescriptors = readMaxDescriptors(root);
    auto duties = readDuties(root);
    if (!settings.maxDescriptors)
        settings.maxDescriptors = maxDescriptors;
    if (!settings.duties)
        settings.duties = std::move(duties);
    return document.faults();
}

void checkDistinctAddresses(CheckedTable& root, DaemonSettings const& settings)
{
    std::set<std::pair<std::string, uint16_t>> used;
    auto const check = [&](std::string_view key, ListenAddress const& address) {
        if (address.port != 0 && !used.emplace(address.address, address.port).second)
            root.addFault(key, "must not have the address and port of another listener");
    };
    check("caller", settings.caller);
    check("peer", settings.peer);
    check("admin", settings.admin);
    check("control", settings.control);
}

}

std::variant<DaemonSettings, Settings::SettingsFaults> readDaemonSettings(std::string const& path)
{
    auto const document = Settings::CheckedDocument::fromFile(path);
    if (!document.isParsed())
        return document.faults();
    DaemonSettings settings;
    auto root = document.root();
    settings.vmName = root.text("vm_name", Settings::nameRule, Presence::Required).value_or("");
    settings.availabilityZone = root.text("availability_zone", Settings::nameRule, Presence::Required).value_or("");
    settings.workerThreads = static_cast<unsigned>(
        root.integerOr("worker_threads", IntegerRange { 1, 256, "threads" }, settings.workerThreads));
    settings.balancerLag = std::chrono::milliseconds(
        root.integerOr("balancer_lag_ms", IntegerRange { 0, 10 * minute, "ms" }, settings.balancerLag.count() / 1000));
    if (auto const grace = root.text("grace_seconds", secondsRule))
        settings.grace = Core::Duration(std::llround(std::stod(*grace) * microsecondsPerSecond));
    if (auto const share = root.text("processor_share", numberRule))
        settings.processorShare = std::stod(*share);
    if (auto const memory = root.text("memory_mb", memoryRule))
        settings.memoryMebibytes = std::stod(*memory);
    settings.maxDescriptors = readMaxDescriptors(root);
    settings.isFirstStart = root.boolean("first_start").value_or(false);
    if (auto retries = root.table("retries")) {
        if (auto const ratio = retries->text("ratio", numberRule))
            settings.retryRatio = std::stod(*ratio);
        if (auto const slack = retries->text("slack", numberRule))
            settings.retrySlack = std::stod(*slack);
        retries->refuseOtherKeys();
    }
    settings.overload = readOverload(root);
    settings.settingsFile = root.text("settings_file", pathRule);
    if (settings.settingsFile)
        settings.settingsFile = (std::filesystem::path(path).parent_path() / *settings.settingsFile).string();
    static constexpr std::array<std::string_view, 2> placements { "home", "ask_targets" };
    if (auto const placement = root.choice("placement", placements))
        settings.placement = static_cast<PlacementMode>(*placement);
    bool const hasHomes = settings.placement == PlacementMode::Home;
    settings.caller = readAddress(root, "caller");
    if (hasHomes)
        settings.peer = readAddress(root, "peer", 1);
    settings.admin = readAddress(root, "admin");
    if (auto control = root.table("control", Presence::Required)) {
        settings.control = readAddressOf(*control, 1);
        settings.seeds = control->texts("seeds", Settings::hostPortRule);
        control->refuseOtherKeys();
    }
    auto const platformPresence = settings.settingsFile && hasHomes ? Presence::Optional : Presence::Required;
    if (auto platform = root.table("platform", platformPresence)) {
        settings.platform = readAddressOf(*platform, 1);
        platform->refuseOtherKeys();
    }
    settings.duties = readDuties(root);
    settings.limits = readLimits(root);
    if (auto connections = root.table("connections")) {
        settings.usesTargetSubset = connections->boolean("subset").value_or(settings.usesTargetSubset);
        connections->refuseOtherKeys();
    }
    if (auto measurement = root.table("measurement")) {
        settings.measurementBytesPerSecond = readCount(*measurement, "budget_bytes_per_second",
            { 1'000, 1'000'000'000, "bytes/s" }, settings.measurementBytesPerSecond);
        settings.measurementCpuPermille = static_cast<unsigned>(
            readCount(*measurement, "budget_cpu_permille", { 1, 1'000, "permille" }, settings.measurementCpuPermille));
        measurement->refuseOtherKeys();
    }
    checkDistinctAddresses(root, settings);
    root.refuseOtherKeys();
    auto faults = document.faults();
    std::ranges::move(readEnvironment(settings), std::back_inserter(faults));
    if (!faults.empty())
        return faults;
    return settings;
}

}
