#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Comfreysail::TestContent {

/// Response header field with the checksum of the request that the target received.
inline constexpr std::string_view checksumHeader = "Fake-Request-Checksum";

/// Response header field with the name of the target that answered.
inline constexpr std::string_view targetHeader = "Fake-Target";

/// Returns a checksum of the parts of a request that must reach the target unchanged.
std::string requestChecksum(std::string_view method, std::string_view path, std::string_view body);

/// Returns the body of the answer to a lookup or an order. It contains the request ID, so that a caller can detect the
/// answer to another request.
std::string answerBody(std::string_view requestId, std::string_view checksum);

/// Fills `into` with the bytes of a download from an offset on. All targets have the same content under a path.
void fillDownload(std::string_view path, uint64_t offset, std::span<char> into);

/// Returns the length in the last segment of a download path, such as 65536 in /download/a/65536; 0 if it is not a
/// number.
uint64_t downloadLength(std::string_view path);

/// Returns the strong entity tag of a download, with its quotes.
std::string downloadTag(std::string_view path);

}
