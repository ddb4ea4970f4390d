#include <LibCore/Hash.h>
#include <array>
#include <xxhash.h>

namespace Comfreysail::Core {

uint64_t hashBytes(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string hexDigest(std::string_view bytes)
{
    auto digest = XXH3_128bits(bytes.data(), bytes.size());
    return toHex(digest.high64) + toHex(digest.low64);
}

uint64_t combineHashes(uint64_t first, uint64_t second)
{
    std::array<uint64_t, 2> const pair { first, second };
    return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string toHex(uint64_t value)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (size_t index = text.size(); index > 0; --index) {
        text[index - 1] = digits[value & 0xf];
        value >>= 4;
    }
    return text;
}

}
