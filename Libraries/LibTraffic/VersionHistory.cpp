#include <LibTraffic/VersionHistory.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

// Bounds the size of the shared row. Targets of older rejected versions have left long ago.
constexpr size_t maxRejectedVersions = 16;

void reject(VersionHistory& history, std::string const& version)
{
    std::erase(history.rejected, version);
    history.rejected.push_back(version);
    if (history.rejected.size() > maxRejectedVersions)
        history.rejected.erase(history.rejected.begin());
}

}

VersionHistory historyAfter(VersionHistory history, std::string const& toVersion, MoveState state)
{
    if (state == MoveState::Completed) {
        std::erase(history.rejected, toVersion);
        history.current = toVersion;
    } else if (toVersion != history.current) {
        reject(history, toVersion);
    }
    return history;
}

VersionHistory mergedHistory(VersionHistory own, VersionHistory const& shared)
{
    if (!shared.current.empty())
        own.current = shared.current;
    for (auto const& version : shared.rejected)
        reject(own, version);
    std::erase(own.rejected, own.current);
    return own;
}

std::string sourceVersion(VersionHistory const& history,
    std::map<std::string, unsigned, std::less<>> const& readyTargets, std::string_view toVersion)
{
    bool const isCurrentReady = !history.current.empty() && readyTargets.contains(history.current);
    if (isCurrentReady && history.current != toVersion)
        return history.current;
    std::string source;
    unsigned most = 0;
    for (auto const& [version, targets] : readyTargets) {
        bool const isRejected = std::ranges::find(history.rejected, version) != history.rejected.end();
        if (version == toVersion || isRejected || targets <= most)
            continue;
        source = version;
        most = targets;
    }
    return source;
}

}
