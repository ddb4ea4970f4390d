#include "TargetFaults.h"
#include <boost/json.hpp>

namespace Comfreysail::Fakes {

bool TargetFaults::apply(std::string_view json, Core::Instant now)
{
    boost::system::error_code error;
    auto const value = boost::json::parse({ json.data(), json.size() }, error);
    auto const* object = error ? nullptr : value.if_object();
    if (!object || !object->contains("fault") || !object->at("fault").is_string())
        return false;
    auto const number = [&](std::string_view name, double fallback) {
        auto const* member = object->if_contains(name);
        return member && member->is_number() ? member->to_number<double>() : fallback;
    };
    auto const end = now + std::chrono::milliseconds(static_cast<int64_t>(number("for_ms", 1e9)));
    auto const fault = std::string_view(object->at("fault").as_string());
    if (fault == "slow") {
        slowFactor = number("factor", 10);
        slowUntil = end;
    } else if (fault == "fail_fast") {
        failFastUntil = end;
    } else if (fault == "drain") {
        isDraining = true;
    } else if (fault == "cold") {
        coldSince = now;
    } else if (fault == "poison_harmless") {
        crashesOnPoison = false;
    } else if (fault == "silent") {
        ++silentGeneration;
    } else if (fault == "reset") {
        resetUntil = end;
    } else if (fault == "cut") {
        cutUntil = end;
    } else if (fault == "lie") {
        lieUntil = end;
    } else if (fault == "bad_route") {
        auto const* prefix = object->if_contains("path_prefix");
        if (!prefix || !prefix->is_string())
            return false;
        badRoute = prefix->as_string().c_str();
    } else if (fault == "none") {
        *this = { .silentGeneration = silentGeneration, .coldSince = coldSince };
    } else {
        return false;
    }
    return true;
}

}
