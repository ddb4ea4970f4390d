#include "ResumableBody.h"

#include <charconv>

namespace Comfreysail::Daemon {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusPartialContent = 206;

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

}

std::optional<ContentRange> parseContentRange(std::string_view text)
{
    constexpr std::string_view unit = "bytes ";
    auto const dash = text.find('-');
    auto const slash = text.find('/');
    if (!text.starts_with(unit) || dash == std::string_view::npos || slash == std::string_view::npos || slash < dash)
        return std::nullopt;
    auto const first = parseNumber(text.substr(unit.size(), dash - unit.size()));
    auto const last = parseNumber(text.substr(dash + 1, slash - dash - 1));
    auto const total = parseNumber(text.substr(slash + 1));
    if (!first || !last || !total || *first > *last || *last >= *total)
        return std::nullopt;
    return ContentRange { *first, *last, *total };
}

std::optional<ResumableBody> ResumableBody::of(HTTP::RequestHead const& request, HTTP::ResponseHead const& response)
{
    auto const entityTag = response.fields.find("ETag");
    // Weak entity tags start with W/. They may be equal although the bytes differ.
    if (request.method != "GET" || !entityTag || !entityTag->starts_with('"'))
        return std::nullopt;
    ResumableBody body { std::string(*entityTag), {}, 0 };
    if (response.status == statusOk && response.contentLength.value_or(0) > 0) {
        body.range = { 0, *response.contentLength - 1, *response.contentLength };
        return body;
    }
    auto const range = parseContentRange(response.fields.find("Content-Range").value_or(""));
    if (response.status != statusPartialContent || !range || response.contentLength != range->last - range->first + 1)
        return std::nullopt;
    body.range = *range;
    return body;
}

void ResumableBody::addTo(HTTP::Fields& fields) const
{
    fields.set("Range", "bytes=" + std::to_string(range.first + sent) + "-" + std::to_string(range.last));
    fields.set("If-Range", entityTag);
    for (auto const* name : { "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since" })
        fields.remove(name);
}

bool ResumableBody::isContinuedBy(HTTP::ResponseHead const& response) const
{
    auto const continuation = parseContentRange(response.fields.find("Content-Range").value_or(""));
    return response.status == statusPartialContent && response.fields.find("ETag") == entityTag && continuation
        && *continuation == ContentRange { range.first + sent, range.last, range.total }
    && (response.chunked || response.contentLength == range.last - range.first - sent + 1);
}

}
