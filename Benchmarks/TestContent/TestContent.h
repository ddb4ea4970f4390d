#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Comfreysail::TestContent {

/// Response header with the checksum of the request that a target answered.
inline constexpr std::string_view checksumHeader = "Fake-Request-Checksum";

/// Response header with the name of the target that answered.
inline constexpr std::string_view targetHeader = "Fake-Target";

/// Checksum of the parts of a request that must reach the target unchanged.
std::string requestChecksum(std::string_view method, std::string_view path, std::string_view body);

/// Body of the answer to a lookup or an order: it names the request, so that a mixed-up answer is detectable.
std::string answerBody(std::string_view requestId, std::string_view checksum);

/// Fills with the bytes of a download from an offset on; every target has the same content under a path.
void fillDownload(std::string_view path, uint64_t offset, std::span<char> into);

/// Length in the last part of a download path, such as 65536 in /download/a/65536; 0 when there is none.
uint64_t downloadLength(std::string_view path);

/// The strong entity tag of a download, with quotes.
std::string downloadTag(std::string_view path);

}
