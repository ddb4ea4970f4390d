#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Comfreysail::Core {

/// 64-bit XXH3 hash. Stable across processes and versions, so it may be stored and sent.
uint64_t hashBytes(std::string_view bytes, uint64_t seed = 0);

/// 128-bit XXH3 hash as 32 lower-case hexadecimal digits; used for row keys and object names.
std::string hexDigest(std::string_view bytes);

/// Combines two hashes; the result depends on their order.
uint64_t combineHashes(uint64_t first, uint64_t second);

/// The value as 16 lower-case hexadecimal digits.
std::string toHex(uint64_t value);

}
