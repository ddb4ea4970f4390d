#pragma once

#include <LibHTTP/Fields.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::HTTP {

struct RequestHead {
    std::string method;
    std::string target;
    Fields fields;
    std::optional<uint64_t> contentLength;
    bool chunked { false };
    bool keepAlive { true };
    bool expectsContinue { false };

    bool hasBody() const { return chunked || contentLength.value_or(0) > 0; }
    bool operator==(RequestHead const&) const = default;
};

struct ResponseHead {
    unsigned status { 200 };
    std::string reason;
    Fields fields;
    std::optional<uint64_t> contentLength;
    bool chunked { false };
    /// The body has no declared length and ends when the connection closes (RFC 9112, 6.3).
    bool endsWithConnection { false };
    bool keepAlive { true };

    bool operator==(ResponseHead const&) const = default;
};

/// True if a response with this status never has a body (RFC 9110, 6.4.1).
bool statusForbidsBody(unsigned status);

/// The standard reason phrase; empty for an unknown status.
std::string_view reasonPhrase(unsigned status);

/// The head in wire format. Content-Length, Transfer-Encoding and Connection are written from the members, so `fields`
/// must not contain them.
std::string serialize(RequestHead const&);
std::string serialize(ResponseHead const&);

/// The chunk-size line that precedes a chunk of `size` bytes.
std::string chunkPrefix(size_t size);
inline constexpr std::string_view chunkSuffix = "\r\n";
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

}
