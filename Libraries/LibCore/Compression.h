#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Core {

/// Compresses the bytes into one Zstandard frame. If `base` is not empty, the frame holds only the difference to it and
/// can be restored only with the same base.
std::string compress(std::string_view bytes, std::string_view base = {});

/// Restores bytes that compress() returned. Returns std::nullopt if the frame is damaged or states no size, if the
/// bytes are more than `maxBytes`, or if the base is another one; no more than that is allocated.
std::optional<std::string> decompress(std::string_view frame, size_t maxBytes, std::string_view base = {});

}
