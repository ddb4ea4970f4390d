#include <LibHTTP/Message.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Comfreysail::HTTP {

namespace {

constexpr size_t typicalHeadSize = 512;

constexpr std::array<std::pair<unsigned, std::string_view>, 24> reasons { { { 200, "OK" }, { 201, "Created" },
    { 202, "Accepted" }, { 204, "No Content" }, { 206, "Partial Content" }, { 304, "Not Modified" },
    { 400, "Bad Request" }, { 403, "Forbidden" }, { 404, "Not Found" }, { 405, "Method Not Allowed" },
    { 408, "Request Timeout" }, { 409, "Conflict" }, { 412, "Precondition Failed" }, { 413, "Content Too Large" },
    { 416, "Range Not Satisfiable" }, { 422, "Unprocessable Content" }, { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" }, { 499, "Client Closed Request" }, { 500, "Internal Server Error" },
    { 502, "Bad Gateway" }, { 503, "Service Unavailable" }, { 504, "Gateway Timeout" }, { 508, "Loop Detected" } } };

void appendField(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void appendFieldsAndFraming(
    std::string& text, Fields const& fields, std::optional<uint64_t> contentLength, bool chunked, bool keepAlive)
{
    for (auto const& field : fields.all())
        appendField(text, field.name, field.value);
    if (chunked)
        appendField(text, "Transfer-Encoding", "chunked");
    else if (contentLength)
        appendField(text, "Content-Length", std::to_string(*contentLength));
    if (!keepAlive)
        appendField(text, "Connection", "close");
    text.append("\r\n");
}

}

bool statusForbidsBody(unsigned status) { return status < 200 || status == 204 || status == 304; }

std::string_view reasonPhrase(unsigned status)
{
    auto const* const row
        = std::find_if(reasons.begin(), reasons.end(), [&](auto const& reason) { return reason.first == status; });
    return row == reasons.end() ? std::string_view() : row->second;
}

std::string serialize(RequestHead const& head)
{
    std::string text;
    text.reserve(typicalHeadSize);
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    appendFieldsAndFraming(text, head.fields, head.contentLength, head.chunked, head.keepAlive);
    return text;
}

std::string serialize(ResponseHead const& head)
{
    std::string text;
    text.reserve(typicalHeadSize);
    text.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    text.append(head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason)).append("\r\n");
    appendFieldsAndFraming(text, head.fields, head.contentLength, head.chunked, head.keepAlive);
    return text;
}

std::string chunkPrefix(size_t size)
{
    std::array<char, 20> digits {};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
    std::string line(digits.data(), end);
    line.append("\r\n");
    return line;
}

}
