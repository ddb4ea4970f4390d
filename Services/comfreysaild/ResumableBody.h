#pragma once

#include <LibHTTP/Message.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

/// A byte range of a representation, both ends included, as in Content-Range.
struct ContentRange {
    uint64_t first { 0 };
    uint64_t last { 0 };
    uint64_t total { 0 };

    bool operator==(ContentRange const&) const = default;
};

std::optional<ContentRange> parseContentRange(std::string_view);

/// What is needed to continue an interrupted response body on another target: the strong entity tag and how far the
/// caller has got.
struct ResumableBody {
    std::string entityTag;
    ContentRange range; ///< What the caller was promised.
    uint64_t sent { 0 };

    /// Nothing when the response cannot be resumed: not a GET, no strong entity tag, or no length.
    static std::optional<ResumableBody> of(HTTP::RequestHead const&, HTTP::ResponseHead const&);

    /// Adds Range and If-Range for the rest.
    void addTo(HTTP::Fields&) const;

    /// True when the response continues exactly where the caller's copy ends.
    bool isContinuedBy(HTTP::ResponseHead const&) const;
};

}
