#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Moves {

enum class VerdictKind : uint8_t { Undecided, Bad };

/// A bad verdict never changes again.
struct Verdict {
    VerdictKind kind { VerdictKind::Undecided };
    std::string reason;

    bool operator==(Verdict const&) const = default;
};

}
