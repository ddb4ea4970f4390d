#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Moves {

enum class VerdictKind : uint8_t { Undecided, Bad };

/// Result of judge(). A bad verdict is final.
struct Verdict {
    VerdictKind kind { VerdictKind::Undecided };
    std::string reason;

    bool operator==(Verdict const&) const = default;
};

}
