#include <LibClaims/ClaimRow.h>
#include <array>
#include <boost/json.hpp>
#include <charconv>

namespace Comfreysail::Claims {

namespace {

constexpr std::array<std::string_view, 3> stateNames { "claimed", "finished", "released" };

std::optional<RowState> stateFromName(std::string_view name)
{
    for (size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames[index] == name)
            return static_cast<RowState>(index);
    }
    return std::nullopt;
}

std::optional<uint64_t> fromHex(std::string_view text)
{
    uint64_t value = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.empty() || result.ec != std::errc {} || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

}

std::string claimRowKey(std::string_view service, std::string_view department, std::string_view idempotencyKey)
{
    // The parts contain no NUL byte, so the joined text is unique for each triple.
    std::string text;
    text.append(service).append(1, '\0').append(department).append(1, '\0').append(idempotencyKey);
    return Core::hexDigest(text);
}

std::string encodeRow(ClaimRow const& row)
{
    return boost::json::serialize(boost::json::object {
        { "claim_id", row.claimId },
        { "fingerprint", Core::toHex(row.fingerprint) },
        { "start_by", Core::toUnixMilliseconds(row.startBy) },
        { "timeout_ms", row.timeout.count() },
        { "expires_at", Core::toUnixMilliseconds(row.expiresAt) },
        { "state", stateNames.at(static_cast<size_t>(row.state)) },
        { "status", row.status },
    });
}

std::optional<ClaimRow> decodeRow(std::string_view text)
{
    boost::system::error_code error;
    auto const value = boost::json::parse({ text.data(), text.size() }, error);
    auto const* object = error ? nullptr : value.if_object();
    if (!object)
        return std::nullopt;
    auto const string = [&](std::string_view name) {
        auto const* member = object->if_contains(name);
        return member ? member->if_string() : nullptr;
    };
    auto const number = [&](std::string_view name) {
        auto const* member = object->if_contains(name);
        return member ? member->if_int64() : nullptr;
    };
    auto const* claimId = string("claim_id");
    auto const* fingerprintText = string("fingerprint");
    auto const* stateText = string("state");
    auto const* startBy = number("start_by");
    auto const* timeout = number("timeout_ms");
    auto const* expiresAt = number("expires_at");
    auto const* status = number("status");
    if (!claimId || !fingerprintText || !stateText || !startBy || !timeout || !expiresAt || !status)
        return std::nullopt;
    auto const fingerprint = fromHex({ fingerprintText->data(), fingerprintText->size() });
    auto const state = stateFromName({ stateText->data(), stateText->size() });
    if (!fingerprint || !state || *status < 0 || *status > 999)
        return std::nullopt;
    return ClaimRow { std::string(claimId->data(), claimId->size()), *fingerprint, Core::fromUnixMilliseconds(*startBy),
        std::chrono::milliseconds(*timeout), Core::fromUnixMilliseconds(*expiresAt), *state,
        static_cast<unsigned>(*status) };
}

}
