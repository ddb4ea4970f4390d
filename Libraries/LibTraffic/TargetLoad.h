#pragma once

#include <optional>
#include <string_view>

namespace Comfreysail::Traffic {

/// What a target reports about its load.
struct TargetLoad {
    unsigned running { 0 };
    unsigned waiting { 0 };
    unsigned slots { 1 };
    double slowness { 1 }; ///< Time that work takes now, as a multiple of the usual time.

    bool operator==(TargetLoad const&) const = default;
};

/// Reads "running,waiting,slots" or "running,waiting,slots,percent". Nothing when the text is not of this form.
std::optional<TargetLoad> parseTargetLoad(std::string_view);

}
