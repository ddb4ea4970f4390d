#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Wire {

/// The settings in force at the sender.
struct SettingsReply {
    uint64_t revision { 0 };
    std::string changeId;
    std::string hash;
    std::string toml;

    bool operator==(SettingsReply const&) const = default;
};

}
