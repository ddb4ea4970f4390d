#pragma once

#include <LibHTTP/Message.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

/// A byte range of a representation, with inclusive ends as in Content-Range (RFC 9110, section 14.4).
struct ContentRange {
    uint64_t first { 0 };
    uint64_t last { 0 };
    uint64_t total { 0 };

    bool operator==(ContentRange const&) const = default;
};

/// Parses a Content-Range value of the form "bytes first-last/total"; std::nullopt for any other.
std::optional<ContentRange> parseContentRange(std::string_view);

/// What is needed to continue an interrupted response body from another target: the strong entity tag and the number of
/// bytes that the caller has.
struct ResumableBody {
    std::string entityTag;
    ContentRange range;  ///< The range that the response head announced to the caller.
    uint64_t sent { 0 }; ///< Bytes of the range sent to the caller so far.

    /// Returns std::nullopt if the response cannot be resumed: no GET, no strong entity tag, or no length.
    static std::optional<ResumableBody> of(HTTP::RequestHead const&, HTTP::ResponseHead const&);

    /// Sets Range and If-Range so that a target returns the rest, and removes all other preconditions.
    void addTo(HTTP::Fields&) const;

    /// True if the response is the same representation, from the first byte that the caller lacks to the end of the
    /// range.
    bool isContinuedBy(HTTP::ResponseHead const&) const;
};

}
