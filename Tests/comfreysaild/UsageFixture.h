#pragma once

#include "EntryFixture.h"

#include <Support/ScriptedServer.h>
#include <atomic>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <sstream>

namespace Comfreysail::Tests {

/// One call of POST /usage.
struct Report {
    int64_t window { 0 };
    uint64_t token { 0 };
    std::string holder;
    std::map<std::string, int64_t> counts;
    std::chrono::system_clock::time_point at;
};

inline constexpr auto windowTime = std::chrono::seconds(2);

inline std::string fieldOf(std::string const& request, std::string const& name)
{
    auto const begin = request.find("\r\n" + name + ": ");
    REQUIRE(begin != std::string::npos);
    auto const value = begin + name.size() + 4;
    return request.substr(value, request.find("\r\n", value) - value);
}

inline Report reportOf(std::string const& request)
{
    CHECK(request.starts_with("POST /usage HTTP/1.1\r\n"));
    CHECK(fieldOf(request, "Content-Type") == "application/json");
    Report report;
    report.at = std::chrono::system_clock::now();
    report.token = std::stoull(fieldOf(request, "X-Comfreysail-Fence-Token"));
    report.holder = fieldOf(request, "X-Comfreysail-Duty-Holder");
    auto const body = boost::json::parse(request.substr(request.find("\r\n\r\n") + 4)).as_object();
    report.window = body.at("window-id").to_number<int64_t>();
    for (auto const& entry : body.at("counts").as_object())
        report.counts[std::string(entry.key())] = entry.value().to_number<int64_t>();
    return report;
}

inline bool respondComplete(RawConnection& connection, std::string const& head)
{
    return connection.send(signedResponse(head, "whole"));
}

/// Daemons with the duty to report usage to a scripted platform.
struct UsageFixture : EntryFixture {
    UsageFixture()
        : usage([this](std::string const& request) {
            {
                std::lock_guard const lock(m_mutex);
                m_reports.push_back(reportOf(request));
            }
            return refusals > 0 ? (--refusals, ScriptedServer::answer(429, "")) : ScriptedServer::answer(200, "");
        })
    {
        writeTenants(
            2, R"([{"name":"kaje80","api-keys":["key-of-kaje80"]},{"name":"vopu11","api-keys":["key-of-vopu11"]}])");
    }

    DaemonProcess& startReporter(unsigned number, DaemonOptions options = {})
    {
        options.vmName = "entry-" + std::to_string(number);
        options.limits = "[duties]\nendpoint = \"127.0.0.1:" + std::to_string(usage.port())
            + "\"\nkinds = [\"usage\", \"other\"]\ncalls_per_second = \"50\"\nreport_window_seconds = \"2\"\n"
              "report_due_seconds = \"10\"\nlease_seconds = \"3\"\n";
        if (!reporters.empty())
            options.seedPorts = { reporters.front()->controlPort() };
        reporters.push_back(&startDaemon(options));
        return *reporters.back();
    }

    void startReporters()
    {
        for (unsigned number = 1; number <= 3; ++number)
            startReporter(number);
    }

    std::vector<Report> reports() const
    {
        std::lock_guard const lock(m_mutex);
        return m_reports;
    }

    /// The reported sum of a department.
    int64_t sumOf(std::string const& department) const
    {
        std::map<int64_t, int64_t> byWindow;
        for (auto const& report : reports()) {
            auto const found = report.counts.find(department);
            byWindow[report.window] = found == report.counts.end() ? 0 : found->second;
        }
        int64_t sum = 0;
        for (auto const& [window, count] : byWindow)
            sum += count;
        return sum;
    }

    /// A request with the key "key-of-NAME".
    std::string requestWithKey(std::string const& name)
    {
        auto text = requestText("GET", "/read/1", "u" + std::to_string(++m_sent));
        return text.insert(text.find("\r\n") + 2, "Authorization: Token key-of-" + name + "\r\n");
    }

    RawResponse send(DaemonProcess& daemon, std::string const& department)
    {
        auto connection = daemon.connect();
        connection.send(requestWithKey(department));
        return connection.readResponse();
    }

    /// The rules that hold whatever fails.
    void checkRules() const
    {
        std::map<int64_t, std::map<std::string, int64_t>> byWindow;
        std::map<uint64_t, std::string> holders;
        uint64_t lastToken = 0;
        for (auto const& report : reports()) {
            CHECK(byWindow.emplace(report.window, report.counts).first->second == report.counts);
            CHECK(holders.emplace(report.token, report.holder).first->second == report.holder);
            CHECK(report.token >= lastToken);
            lastToken = report.token;
        }
    }

    /// Calls of all daemons for the row of the duty.
    size_t storeCalls() const
    {
        size_t calls = 0;
        for (auto const* const reporter : reporters) {
            std::istringstream lines(reporter->admin("/metrics").body);
            for (std::string line; std::getline(lines, line);) {
                bool const isOfDuties = line.starts_with("comfreysail_store_calls_total{")
                    && line.find("comfreysail-duties") != std::string::npos;
                calls += isOfDuties ? std::stoul(line.substr(line.rfind(' '))) : 0;
            }
        }
        return calls;
    }

    /// Waits until windows up to the one that ended last are reported.
    bool waitForReportsUpToNow()
    {
        auto const window = std::chrono::system_clock::now().time_since_epoch() / windowTime;
        return eventually(
            [&] { return !reports().empty() && reports().back().window >= window; }, std::chrono::seconds(25));
    }

    DaemonProcess& holder()
    {
        auto const name = reports().back().holder;
        return *reporters.at(static_cast<size_t>(name.back() - '1'));
    }

    std::vector<DaemonProcess*> reporters;
    std::atomic<int> refusals { 0 };
    ScriptedServer usage;

private:
    mutable std::mutex m_mutex;
    std::vector<Report> m_reports;
    unsigned m_sent { 0 };
};

}
