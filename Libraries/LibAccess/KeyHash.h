#pragma once

#include <cstddef>
#include <string_view>

namespace Comfreysail::Access {

/// Hashes API keys with XXH3 and a seed that is drawn once for each process, so that clients cannot choose keys that
/// collide with those in the table.
struct KeyHash {
    using is_transparent = void;

    size_t operator()(std::string_view key) const;
};

}
