#include <LibCore/Compression.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace Comfreysail::Core {

namespace {

// Settings of 1,700 routes take about a millisecond of a whole core at this level.
constexpr int compressionLevel = 3;
// Limits of the window, as powers of two. The largest one is what decompress() accepts.
constexpr int minWindowLog = 10;
constexpr int maxWindowLog = 24;

using CompressionContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressionContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

}

std::string compress(std::string_view bytes, std::string_view base)
{
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    size_t size = 0;
    if (base.empty()) {
        size = ZSTD_compress(frame.data(), frame.size(), bytes.data(), bytes.size(), compressionLevel);
    } else {
        CompressionContext const context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
        // The window has to cover the base too, and the matches are far apart.
        auto const windowLog
            = std::clamp(static_cast<int>(std::bit_width(bytes.size() + base.size())), minWindowLog, maxWindowLog);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
        size = ZSTD_compress2(context.get(), frame.data(), frame.size(), bytes.data(), bytes.size());
    }
    // Fails only without memory, and then no string is allocated either.
    frame.resize(ZSTD_isError(size) ? 0 : size);
    return frame;
}

std::optional<std::string> decompress(std::string_view frame, size_t maxBytes, std::string_view base)
{
    auto const stated = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (stated == ZSTD_CONTENTSIZE_ERROR || stated == ZSTD_CONTENTSIZE_UNKNOWN || stated > maxBytes)
        return std::nullopt;
    std::string bytes(stated, '\0');
    DecompressionContext const context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, maxWindowLog);
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    auto const size = ZSTD_decompressDCtx(context.get(), bytes.data(), bytes.size(), frame.data(), frame.size());
    if (ZSTD_isError(size) || size != stated)
        return std::nullopt;
    return bytes;
}

}
