#include "UsageFixture.h"

#include <array>
#include <cstdlib>
#include <ctime>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

using SteadyClock = std::chrono::steady_clock;

// Two daemons that read the store, two that do so when these fail, and one that never does in these tests.
constexpr unsigned daemons = 5;
/// Within this time of the store's acknowledgement a change has to be in force (`config-apply-s` where there are keys).
constexpr auto applyTime = 2500ms;
/// Allowed deviation of a count from the number of executed requests.
constexpr double countTolerance = 0.05;
/// In windows with fewer requests of a department, the tolerance would be less than a few requests on a window's edge.
constexpr int64_t minCount = 100;

/// Forwards a daemon's calls to the fake platform, unless it is cut: then calls get no response.
class PlatformLink {
public:
    explicit PlatformLink(uint16_t platformPort)
        : m_server([this, platformPort](RawConnection& connection, std::string const& head) {
            auto const call = head + connection.readExactly(contentLengthOf(head));
            if (isCut) {
                while (isCut)
                    std::this_thread::sleep_for(10ms);
                return false;
            }
            auto platform = RawConnection::connectTo(platformPort);
            platform.send(call);
            auto const response = platform.readResponse();
            return response.isComplete && connection.send(response.head + response.body);
        })
    {
    }
    ~PlatformLink() { isCut = false; }

    uint16_t port() const { return m_server.port(); }

    std::atomic<bool> isCut { false };

private:
    ScriptedTarget m_server;
};

/// Whether the daemon has written a log line at this distance from the present, to the minute.
bool hasLoggedAt(DaemonProcess const& daemon, std::chrono::seconds shift)
{
    auto const time = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now() + shift);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y%m%d %H:%M:", std::localtime(&time));
    return daemon.log().find(text.data()) != std::string::npos;
}

int64_t currentWindow() { return std::chrono::system_clock::now().time_since_epoch() / windowTime; }

/// Daemons with clients of two departments, of which one has a second key ("key-of-revoked") that a test revokes, and a
/// record of what the target executed.
struct FailureFixture : UsageFixture {
    FailureFixture()
    {
        writeTenants(3, tenantsWith(R"(,"key-of-revoked")"));
        addTarget("t1", [this](RawConnection& connection, std::string const& head) {
            {
                std::lock_guard const lock(m_mutex);
                ++m_executed[currentWindow()][fieldOf(head, "X-Comfreysail-Tenant")];
            }
            return respondComplete(connection, head);
        });
    }
    ~FailureFixture()
    {
        // The daemons' connections end before the links do.
        stopAll();
    }
    FailureFixture(FailureFixture const&) = delete;
    FailureFixture& operator=(FailureFixture const&) = delete;

    void startAll()
    {
        for (unsigned number = 1; number <= daemons; ++number) {
            links.push_back(std::make_unique<PlatformLink>(platformPort()));
            startReporter(
                number, { .platformPort = links.back()->port(), .waitsUntilReady = false, .hasSteppableClock = true });
        }
        for (auto* const reporter : reporters)
            REQUIRE(eventually([&] { return reporter->admin("/ready").status() == 200; }, 10s));
    }

    /// Starts all daemons, waits until they report, and sends requests for some time.
    void startWithTraffic()
    {
        startAll();
        REQUIRE(waitForReportsUpToNow());
        for (auto* const reporter : reporters)
            REQUIRE(eventually([&] { return send(*reporter, "revoked").status() == 200; }));
        firstWindow = currentWindow() + 1;
        play(3s);
    }

    /// Sends requests to all daemons but one.
    void play(std::chrono::milliseconds time, DaemonProcess const* skipped = nullptr)
    {
        auto const end = SteadyClock::now() + time;
        for (size_t index = 0; SteadyClock::now() < end; ++index) {
            auto* const reporter = reporters[index % reporters.size()];
            if (reporter != skipped)
                send(*reporter, index % 2 == 0 ? "kaje80" : "vopu11");
            std::this_thread::sleep_for(5ms);
        }
    }

    void revoke()
    {
        writeTenants(4, tenantsWith(""));
        m_revokedAt = SteadyClock::now();
    }

    /// Checks on each daemon but one that the revoked key is refused in time and others are not.
    void checkKeys(DaemonProcess const* skipped = nullptr)
    {
        std::this_thread::sleep_until(m_revokedAt + applyTime);
        for (auto* const reporter : reporters) {
            if (reporter == skipped)
                continue;
            auto const before = executed();
            CHECK(send(*reporter, "revoked").status() == 401);
            CHECK(executed() == before);
            for (auto const* const key : { "kaje80", "vopu11" }) {
                CHECK(eventually([&] {
                    auto const status = send(*reporter, key).status();
                    CHECK(status != 401);
                    return status == 200;
                }));
            }
        }
    }

    /// Waits for the reports and checks them from the first window on.
    void checkReports()
    {
        REQUIRE(waitForReportsUpToNow());
        checkRules();
        std::map<int64_t, Report> byWindow;
        for (auto const& report : reports()) {
            if (report.window < firstWindow)
                continue;
            auto const end = std::chrono::system_clock::time_point((report.window + 1) * windowTime);
            CHECK(report.at > end);
            CHECK(report.at < end + 10s);
            byWindow.emplace(report.window, report);
        }
        std::lock_guard const lock(m_mutex);
        for (auto const& [window, counts] : m_executed) {
            if (window < firstWindow)
                continue;
            CAPTURE(window);
            auto const found = byWindow.find(window);
            CHECK(found != byWindow.end());
            for (auto const& [department, count] : counts) {
                CAPTURE(department, count);
                if (found == byWindow.end() || count < minCount)
                    continue;
                auto const reported = found->second.counts[department];
                CAPTURE(reported, found->second.holder);
                CHECK(std::abs(static_cast<double>(reported - count)) <= countTolerance * static_cast<double>(count));
            }
        }
    }

    DaemonProcess& otherThan(DaemonProcess const& daemon) const { return *reporters[reporters[0] == &daemon ? 1 : 0]; }

    std::vector<std::unique_ptr<PlatformLink>> links; ///< In the order of the daemons.
    int64_t firstWindow { 0 };                        ///< The first one whose report is checked.

private:
    static std::string tenantsWith(std::string const& additionalKey)
    {
        return R"([{"name":"kaje80","api-keys":["key-of-kaje80"]},{"name":"vopu11","api-keys":["key-of-vopu11")"
            + additionalKey + "]}]";
    }

    int64_t executed()
    {
        std::lock_guard const lock(m_mutex);
        int64_t sum = 0;
        for (auto const& [window, counts] : m_executed) {
            for (auto const& [department, count] : counts)
                sum += count;
        }
        return sum;
    }

    std::mutex m_mutex;
    std::map<int64_t, std::map<std::string, int64_t>> m_executed; ///< By window and department.
    SteadyClock::time_point m_revokedAt;
};

}

// Guards against windows and leases that follow the wall clock of one daemon.
TEST_CASE_METHOD(FailureFixture, "EntryFailures_WallClockOfOneDaemonSteps_ReportsAndKeysHold", "[.failures]")
{
    auto const [isHolder, shift] = GENERATE(
        table<bool, std::chrono::seconds>({ { true, 2400s }, { true, -2400s }, { false, 2400s }, { false, -2400s } }));
    CAPTURE(isHolder, shift.count());
    startWithTraffic();
    auto& stepped = isHolder ? holder() : otherThan(holder());
    stepped.stepClock(shift);
    revoke();
    play(2s);
    CHECK(eventually([&stepped, shift = shift] { return hasLoggedAt(stepped, shift); }));
    checkKeys();
    play(6s);
    checkReports();
}

// Guards against a holder that reports without a lease, and against counts and keys of a daemon without the store.
TEST_CASE_METHOD(FailureFixture, "EntryFailures_HolderIsCutOffFromTheStore_AnotherReportsAndKeysHold", "[.failures]")
{
    startWithTraffic();
    auto const before = reports().back();
    auto& link = *links.at(static_cast<size_t>(before.holder.back() - '1'));
    link.isCut = true;
    revoke();
    play(2s);
    checkKeys();
    play(8s);
    REQUIRE(waitForReportsUpToNow());
    CHECK(reports().back().holder != before.holder);
    CHECK(reports().back().token > before.token);
    link.isCut = false;
    play(4s);
    checkReports();
}

// Guards against a window that is given up, or taken for reported, because the response to its write was lost.
TEST_CASE_METHOD(FailureFixture, "EntryFailures_StoreWritesAreLateOrUnanswered_ReportsHold", "[.failures]")
{
    std::string const faults = GENERATE(
        R"({"mode":"lose_answers"})", R"({"mode":"late","delay_ms":1000})", R"({"mode":"late","delay_ms":3000})");
    CAPTURE(faults);
    startWithTraffic();
    setFaults(faults);
    play(4s);
    setFaults(R"({"mode":"up"})");
    play(5s);
    checkReports();
}

// Guards against a token or a window that is used again by processes that remember nothing.
TEST_CASE_METHOD(FailureFixture, "EntryFailures_AllDaemonsRestart_ReportsAndKeysHold", "[.failures]")
{
    startWithTraffic();
    auto const before = reports().back();
    revoke();
    reporters.clear();
    killDaemons();
    links.clear();
    startAll();
    checkKeys();
    // The counts of the killed processes are lost.
    firstWindow = currentWindow() + 1;
    play(6s);
    checkReports();
    CHECK(reports().back().token > before.token);
}

// Guards against keys that stay in force because the daemon that read the store is gone.
TEST_CASE_METHOD(FailureFixture, "EntryFailures_HolderIsKilled_ReportsAndKeysHold", "[.failures]")
{
    startWithTraffic();
    auto const before = reports().back();
    auto& killed = holder();
    killed.kill();
    firstWindow = currentWindow() + 1;
    revoke();
    play(2s, &killed);
    checkKeys(&killed);
    play(4s, &killed);
    checkReports();
    CHECK(reports().back().token > before.token);
}

// Guards against a daemon that continues with the keys and the lease that it had before its pause.
TEST_CASE_METHOD(FailureFixture, "EntryFailures_HolderIsPausedBeyondItsLease_ReportsAndKeysHold", "[.failures]")
{
    startWithTraffic();
    auto const before = reports().back();
    auto& paused = holder();
    paused.stop();
    firstWindow = currentWindow() + 1;
    revoke();
    play(2s, &paused);
    checkKeys(&paused);
    play(3s, &paused);
    auto connection = paused.connect();
    connection.send(requestWithKey("revoked"));
    paused.resume();
    CHECK(connection.readResponse().status() == 401);
    checkKeys();
    play(2s);
    checkReports();
    CHECK(reports().back().token > before.token);
}
