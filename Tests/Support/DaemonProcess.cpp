#include "DaemonProcess.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Comfreysail::Tests {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(10);
constexpr auto startTimeout = std::chrono::seconds(10);
std::string const program = COMFREYSAIL_BIN_DIR "/comfreysaild";
std::string const programWithFaults = COMFREYSAIL_BIN_DIR "/comfreysaildWithFaults";

std::string readFile(std::filesystem::path const& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

std::string treeText(DaemonOptions const& options)
{
    std::string text = "[departments.civil]\n[departments.appeals]\n"
                       "[availability_zones.pos-hall]\nstate = \"in\"\nregion = \"tt\"\n"
                       "[availability_zones.arima]\nstate = \"in\"\nregion = \"tt\"\n"
                       "[services.orders]\nhosts = [\"orders.test\"]\nversion = \"v1\"\n"
        + options.serviceSettings
        + "\n[services.orders.routes]\n"
          "lookup = { method = \"GET\", path_prefix = \"/\", class = \"lookup\", idempotent = true }\n"
          "files = { method = \"GET\", path_prefix = \"/files\", class = \"download\", idempotent = true }\n"
          "order = { method = \"POST\", path_prefix = \"/\", class = \"order\", idempotent = false }\n"
          "put = { method = \"PUT\", path_prefix = \"/\", class = \"order\", idempotent = true }\n"
          "[services.orders.versions.v1]\ntargets = [\n";
    unsigned number = 0;
    for (auto const& target : options.targets) {
        text += "{ name = \"t" + std::to_string(++number)
            + "\", address = \"127.0.0.1\", port = " + std::to_string(target.port) + ", availability_zone = \""
            + target.availabilityZone + "\", slots = " + std::to_string(target.slots) + " },\n";
    }
    return text + "]\n" + options.treeAdditions;
}

/// Returns different ports that are currently unused. Peer and control ports must be fixed in advance because the
/// settings cannot leave their choice to the system. All are taken before one is closed, since the system may return a
/// closed one again.
template<size_t count> std::array<uint16_t, count> freePorts()
{
    std::array<Listener, count> listeners;
    std::ranges::generate(listeners, listenOnFreePort);
    std::array<uint16_t, count> ports {};
    std::ranges::transform(listeners, ports.begin(), &Listener::port);
    for (auto const& listener : listeners)
        ::close(listener.descriptor);
    return ports;
}

struct ListenerPorts {
    uint16_t caller { 0 };
    uint16_t admin { 0 };
    uint16_t peer { 0 };
    uint16_t control { 0 };
};

std::string settingsText(DaemonOptions const& options, ListenerPorts const& ports)
{
    std::string text = "vm_name = \"" + options.vmName + "\"\navailability_zone = \"" + options.availabilityZone
        + "\"\n"
        + (options.platformPort ? "placement = \"ask_targets\"\ngrace_seconds = \"6\"\n"
                                : "settings_file = \"tree.toml\"\n")
        + "balancer_lag_ms = " + std::to_string(options.balancerLagMilliseconds) + "\n" + options.settings + "\n";
    std::vector<std::pair<std::string, uint16_t>> listeners { { "caller", ports.caller }, { "admin", ports.admin } };
    if (options.platformPort)
        listeners.emplace_back("platform", *options.platformPort);
    else
        listeners.emplace_back("peer", ports.peer);
    // The seeds are appended below and must end up in the [control] table, so it comes last.
    listeners.emplace_back("control", ports.control);
    for (auto const& [listener, port] : listeners)
        text += "[" + listener + "]\naddress = \"127.0.0.1\"\nport = " + std::to_string(port) + "\n";
    text += "seeds = [";
    auto seedPorts = options.seedPorts;
    if (options.isSeed)
        seedPorts.push_back(ports.control);
    for (auto const port : seedPorts)
        text += "\"127.0.0.1:" + std::to_string(port) + "\", ";
    text += "]\n";
    return text + "[overload]\n" + options.overload + "\n[limits]\n" + options.limits + "\n";
}

/// Returns the read end and the write end of a pipe whose buffer is full.
std::array<int, 2> makeFullPipe()
{
    std::array<int, 2> ends {};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::runtime_error("cannot make a pipe");
    std::array<char, 4096> const bytes {};
    while (::write(ends[1], bytes.data(), bytes.size()) > 0) { }
    while (::write(ends[1], bytes.data(), 1) > 0) { }
    ::fcntl(ends[1], F_SETFL, 0);
    return ends;
}

struct StartOptions {
    int pipeEnd { -1 }; ///< Write end of a pipe that gets the output instead of the file.
    std::optional<unsigned> descriptorLimit;
    /// File with the shift of the wall clock. If set, the daemon is the one whose clock can be shifted.
    std::optional<std::string> clockFile;
};

/// Starts the daemon with its output going to a file, or to a pipe. Between fork() and execve() the child calls only
/// async-signal-safe functions.
int startProgram(
    std::vector<std::string> const& arguments, std::filesystem::path const& output, StartOptions const& options = {})
{
    auto const& path = options.clockFile ? programWithFaults : program;
    std::vector<char*> pointers { const_cast<char*>(path.c_str()) };
    for (auto const& argument : arguments)
        pointers.push_back(const_cast<char*>(argument.c_str()));
    pointers.push_back(nullptr);
    auto const clockVariable = "COMFREYSAIL_CLOCK_SHIFT=" + options.clockFile.value_or("");
    std::vector<char*> environment { const_cast<char*>(clockVariable.c_str()) };
    for (char** variable = environ; *variable; ++variable)
        environment.push_back(*variable);
    environment.push_back(nullptr);
    auto const outputPath = output.string();
    int const process = ::fork();
    if (process != 0)
        return process;
    int const descriptor
        = options.pipeEnd >= 0 ? options.pipeEnd : ::open(outputPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(descriptor, STDOUT_FILENO);
    ::dup2(descriptor, STDERR_FILENO);
    if (options.descriptorLimit) {
        rlimit const limit { *options.descriptorLimit, *options.descriptorLimit };
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::execve(path.c_str(), pointers.data(), environment.data());
    ::_exit(127);
}

}

std::filesystem::path makeTemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "comfreysail-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot make a temporary folder");
    return pattern;
}

DaemonProcess::DaemonProcess(DaemonOptions const& options)
    : m_folder(makeTemporaryFolder())
{
    std::ofstream(m_folder / "tree.toml") << treeText(options);
    auto const deadline = std::chrono::steady_clock::now() + startTimeout;
    start(options);
    while (!options.logsIntoFullPipe && !waitForLog(deadline)) {
        // Another process has taken a port between freePort() and the start of the daemon.
        std::filesystem::remove(m_folder / "log");
        start(options);
    }
    if (!options.logsIntoFullPipe) {
        m_callerPort = portFromLog("caller_port=");
        if (!options.platformPort)
            m_peerPort = portFromLog("peer_port=");
        m_adminPort = portFromLog("admin_port=");
    }
    while (options.waitsUntilReady && admin("/ready").status() != 200) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("comfreysaild is not ready: " + log());
        std::this_thread::sleep_for(pollInterval);
    }
}

void DaemonProcess::start(DaemonOptions const& options)
{
    auto const [peerPort, controlPort, callerPort, adminPort] = freePorts<4>();
    m_controlPort = controlPort;
    // The ports cannot be read from the log in this case, so they are chosen in advance.
    if (options.logsIntoFullPipe) {
        m_callerPort = callerPort;
        m_adminPort = adminPort;
    }
    std::ofstream(m_folder / "daemon.toml")
        << settingsText(options, { m_callerPort, m_adminPort, peerPort, m_controlPort });
    int writingEnd = -1;
    if (options.logsIntoFullPipe) {
        auto const ends = makeFullPipe();
        m_fullPipe = ends[0];
        writingEnd = ends[1];
    }
    StartOptions startOptions { .pipeEnd = writingEnd, .descriptorLimit = options.descriptorLimit, .clockFile = {} };
    if (options.hasSteppableClock)
        startOptions.clockFile = (m_folder / "clock-shift").string();
    m_process = startProgram({ "--settings", (m_folder / "daemon.toml").string() }, m_folder / "log", startOptions);
    if (options.logsIntoFullPipe) {
        ::close(writingEnd);
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}

bool DaemonProcess::waitForLog(std::chrono::steady_clock::time_point deadline)
{
    while (log().find("event=started") == std::string::npos || !log().ends_with("\n")) {
        bool const hasEnded = ::waitpid(m_process, nullptr, WNOHANG) != 0;
        if (hasEnded)
            m_process = -1;
        if (hasEnded && log().find("Address already in use") != std::string::npos)
            return false;
        if (std::chrono::steady_clock::now() > deadline || hasEnded)
            throw std::runtime_error("comfreysaild did not start: " + log());
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void DaemonProcess::kill()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(std::exchange(m_process, -1), nullptr, 0);
}

DaemonProcess::~DaemonProcess()
{
    kill();
    if (m_fullPipe >= 0)
        ::close(m_fullPipe);
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string DaemonProcess::log() const { return readFile(m_folder / "log"); }

uint16_t DaemonProcess::portFromLog(std::string const& key) const
{
    auto const text = log();
    return static_cast<uint16_t>(std::stoul(text.substr(text.find(key) + key.size())));
}

RawResponse DaemonProcess::call(std::string const& request) const
{
    auto connection = connect();
    connection.send(request);
    return connection.readResponse();
}

RawResponse DaemonProcess::admin(std::string const& path) const
{
    auto connection = RawConnection::connectTo(m_adminPort);
    connection.send("GET " + path + " HTTP/1.1\r\nHost: admin\r\n\r\n");
    return connection.readResponse();
}

size_t DaemonProcess::residentKilobytes() const
{
    auto const status = readFile("/proc/" + std::to_string(m_process) + "/status");
    return std::stoul(status.substr(status.find("VmRSS:") + std::strlen("VmRSS:")));
}

size_t DaemonProcess::openDescriptors() const
{
    std::error_code error;
    std::filesystem::directory_iterator const entries("/proc/" + std::to_string(m_process) + "/fd", error);
    return error ? 0 : static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

void DaemonProcess::setDescriptorLimit(size_t limit) const
{
    rlimit limits {};
    if (::prlimit(m_process, RLIMIT_NOFILE, nullptr, &limits) != 0)
        throw std::runtime_error("cannot read the daemon's limit of descriptors");
    limits.rlim_cur = std::min<rlim_t>(limit, limits.rlim_max);
    if (::prlimit(m_process, RLIMIT_NOFILE, &limits, nullptr) != 0)
        throw std::runtime_error("cannot set the daemon's limit of descriptors");
}

bool DaemonProcess::isAlive() const
{
    siginfo_t info {};
    // WNOWAIT leaves the exit status for kill() and waitForExit().
    return m_process > 0 && ::waitid(P_PID, static_cast<id_t>(m_process), &info, WEXITED | WNOHANG | WNOWAIT) == 0
        && info.si_pid == 0;
}

void DaemonProcess::replaceInSettings(std::string const& part, std::string const& with) const
{
    auto text = readFile(m_folder / "daemon.toml");
    auto const position = text.find(part);
    if (position == std::string::npos)
        throw std::runtime_error("the settings file has no " + part);
    std::ofstream(m_folder / "daemon.toml") << text.replace(position, part.size(), with);
}

void DaemonProcess::hangUp() const { ::kill(m_process, SIGHUP); }

void DaemonProcess::stop() const { ::kill(m_process, SIGSTOP); }

void DaemonProcess::resume() const { ::kill(m_process, SIGCONT); }

void DaemonProcess::stepClock(std::chrono::seconds shift) const
{
    // Renamed into place, so that the process never reads half of the number.
    std::ofstream(m_folder / "next-clock-shift") << shift.count();
    std::filesystem::rename(m_folder / "next-clock-shift", m_folder / "clock-shift");
}

void DaemonProcess::terminate() const { ::kill(m_process, SIGTERM); }

int DaemonProcess::waitForExit(std::chrono::milliseconds timeout)
{
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    int status = 0;
    while (::waitpid(m_process, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > deadline)
            return -1;
        std::this_thread::sleep_for(pollInterval);
    }
    m_process = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string request(
    std::string const& method, std::string const& path, std::string const& fields, std::string const& body)
{
    auto const length = body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + path + " HTTP/1.1\r\nHost: orders.test\r\nComfreysail-Department: civil\r\n" + fields + length
        + "\r\n" + body;
}

FinishedProcess runDaemonProgram(std::vector<std::string> const& arguments)
{
    auto const folder = makeTemporaryFolder();
    int const process = startProgram(arguments, folder / "output");
    int status = 0;
    ::waitpid(process, &status, 0);
    FinishedProcess result { WIFEXITED(status) ? WEXITSTATUS(status) : -1, readFile(folder / "output") };
    std::filesystem::remove_all(folder);
    return result;
}

}
