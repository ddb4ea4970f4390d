#include <LibClaims/ClaimExpiry.h>

namespace Comfreysail::Claims {

namespace {

// Clocks of VMs and targets may differ. One minute is far above the error of synchronized clocks.
constexpr auto clockMargin = std::chrono::minutes(1);

}

std::string sweepPrefix(unsigned step)
{
    static constexpr size_t prefixDigits = 3;
    auto const digits = Core::toHex(step % sweepPrefixCount);
    return digits.substr(digits.size() - prefixDigits);
}

std::vector<ClaimDelete> expiredRows(std::vector<ScannedRow> const& rows, size_t limit, Core::WallTime now)
{
    std::vector<ClaimDelete> deletes;
    for (auto const& scanned : rows) {
        if (deletes.size() >= limit)
            break;
        auto const row = decodeRow(scanned.stored.value);
        if (row && row->expiresAt + clockMargin <= now)
            deletes.push_back({ scanned.key, scanned.stored.version });
    }
    return deletes;
}

}
