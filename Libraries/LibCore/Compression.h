#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Core {

/// Compresses the bytes into one Zstandard frame.
std::string compress(std::string_view bytes);

/// Restores bytes that compress() returned. Returns std::nullopt if the frame is damaged or states no size, or if the
/// bytes are more than `maxBytes`; no more than that is allocated.
std::optional<std::string> decompress(std::string_view frame, size_t maxBytes);

}
