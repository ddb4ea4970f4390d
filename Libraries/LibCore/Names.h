#pragma once

#include <string_view>

namespace Comfreysail::Core {

/// Header names that daemons, callers and targets exchange. See docs/design.md, section 3.1.
namespace Header {
inline constexpr std::string_view department = "Comfreysail-Department";
inline constexpr std::string_view timeoutMilliseconds = "Comfreysail-Timeout-Ms";
inline constexpr std::string_view requestId = "Comfreysail-Request-Id";
inline constexpr std::string_view attempt = "Comfreysail-Attempt";
inline constexpr std::string_view depth = "Comfreysail-Depth";
inline constexpr std::string_view hops = "Comfreysail-Hops";
inline constexpr std::string_view startBy = "Comfreysail-Start-By";
inline constexpr std::string_view outcome = "Comfreysail-Outcome";
inline constexpr std::string_view error = "Comfreysail-Error";
inline constexpr std::string_view load = "Comfreysail-Load";
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
}

/// Service, availability zone, version, department, VM and target names: 1 to 64 characters from a-z, 0-9, '-' and '.',
/// starting with a letter or digit.
bool isValidName(std::string_view);

/// An idempotency key: 1 to 128 visible ASCII characters.
bool isValidIdempotencyKey(std::string_view);

}
