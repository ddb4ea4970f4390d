#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Tool {

/// "IP:port" or "[IPv6]:port".
struct HostPort {
    std::string address;
    uint16_t port { 0 };

    bool operator==(HostPort const&) const = default;

    static std::optional<HostPort> parse(std::string_view);
    std::string text() const;
};

}
