#include <LibHTTP/HeadCheck.h>

#include <LibHTTP/Fields.h>
#include <algorithm>
#include <string>

namespace Comfreysail::HTTP {

namespace {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;

constexpr std::string_view minStatus = "100";
constexpr std::string_view maxStatus = "599";
constexpr size_t statusBegin = 9; // Behind the version and a blank.
constexpr size_t statusEnd = statusBegin + 3;
constexpr size_t maxContentLengthDigits = 18; // 19 digits can overflow a signed 64-bit integer in the receiver.

bool isTokenCharacter(char character)
{
    if ((character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9'))
        return true;
    return std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

bool isDigit(char character) { return character >= '0' && character <= '9'; }

bool isFieldValueCharacter(char character)
{
    auto const byte = static_cast<unsigned char>(character);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool isTargetCharacter(char character) { return character > ' ' && character <= '~'; }

struct FieldCounts {
    unsigned contentLength { 0 };
    unsigned transferEncoding { 0 };
    unsigned host { 0 };
};

std::string checkRequestLine(std::string_view line)
{
    auto const methodEnd = line.find(' ');
    auto const targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || methodEnd == targetEnd)
        return "the request line is not a method, a target and a version";
    auto const target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    if (!isToken(line.substr(0, methodEnd)))
        return "the method is not a token";
    if (target.empty() || !std::all_of(target.begin(), target.end(), isTargetCharacter))
        return "the request target contains a character that is not visible ASCII";
    if (line.substr(targetEnd + 1) != "HTTP/1.1")
        return "the version is not HTTP/1.1";
    return {};
}

std::string checkStatusLine(std::string_view line)
{
    auto const status = line.substr(std::min(statusBegin, line.size()), statusEnd - statusBegin);
    if (!line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.0 "))
        return "the version is not HTTP/1.0 or HTTP/1.1";
    if (status.size() != 3 || !std::all_of(status.begin(), status.end(), isDigit))
        return "the status is not three digits";
    if (status < minStatus || status > maxStatus)
        return "the status is not from 100 to 599";
    if (line.size() > statusEnd && line[statusEnd] != ' ')
        return "there is no blank after the status";
    if (!std::all_of(line.begin() + statusEnd, line.end(), isFieldValueCharacter))
        return "the reason contains a control character";
    return {};
}

std::string checkField(std::string_view line, FieldCounts& counts)
{
    if (line.front() == ' ' || line.front() == '\t')
        return "a header line is folded";
    auto const colon = line.find(':');
    if (colon == std::string_view::npos)
        return "a header line has no colon";
    auto const name = line.substr(0, colon);
    if (!isToken(name))
        return "a header name is not a token";
    auto value = line.substr(colon + 1);
    if (!std::all_of(value.begin(), value.end(), isFieldValueCharacter))
        return "a header value contains a control character";
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    if (equalsIgnoringCase(name, "Content-Length")) {
        ++counts.contentLength;
        if (value.empty() || value.size() > maxContentLengthDigits || !std::all_of(value.begin(), value.end(), isDigit))
            return "Content-Length is not a number of at most 18 digits";
    } else if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        ++counts.transferEncoding;
        if (!equalsIgnoringCase(value, "chunked"))
            return "Transfer-Encoding is not chunked";
    } else if (equalsIgnoringCase(name, "Host")) {
        ++counts.host;
    }
    return {};
}

std::string checkCounts(FieldCounts const& counts, MessageKind kind)
{
    if (counts.contentLength > 1)
        return "there is more than one Content-Length";
    if (counts.transferEncoding > 1)
        return "there is more than one Transfer-Encoding";
    if (counts.contentLength > 0 && counts.transferEncoding > 0)
        return "there are both Content-Length and Transfer-Encoding";
    if (kind == MessageKind::Request && counts.host != 1)
        return "there is not exactly one Host";
    return {};
}

std::string findFault(std::string_view head, MessageKind kind)
{
    FieldCounts counts;
    bool isFirstLine = true;
    while (true) {
        auto const end = head.find("\r\n");
        if (end == std::string_view::npos)
            return "the head has no end";
        auto const line = head.substr(0, end);
        head.remove_prefix(end + 2);
        std::string fault;
        if (isFirstLine)
            fault = kind == MessageKind::Request ? checkRequestLine(line) : checkStatusLine(line);
        else if (line.empty())
            return checkCounts(counts, kind);
        else
            fault = checkField(line, counts);
        if (!fault.empty())
            return fault;
        isFirstLine = false;
    }
}

}

Result<size_t> HeadScanner::scan(std::string_view bytes)
{
    while (m_scanned < bytes.size()) {
        auto const position = bytes.find_first_of("\r\n", m_scanned);
        if (position == std::string_view::npos) {
            m_scanned = bytes.size();
            break;
        }
        if (bytes[position] == '\n')
            return Error { ErrorKind::MalformedRequest, "a line ends with a bare LF" };
        if (position + 1 == bytes.size()) {
            m_scanned = position;
            break;
        }
        if (bytes[position + 1] != '\n')
            return Error { ErrorKind::MalformedRequest, "a bare CR is in the head" };
        m_scanned = position + 2;
        if (position == m_lineStart)
            return m_scanned;
        m_lineStart = m_scanned;
    }
    return size_t { 0 };
}

Result<Empty> checkHead(std::string_view head, MessageKind kind)
{
    auto fault = findFault(head, kind);
    if (fault.empty())
        return Empty {};
    auto const errorKind = kind == MessageKind::Request ? ErrorKind::MalformedRequest : ErrorKind::InvalidTargetAnswer;
    return Error { errorKind, std::move(fault) };
}

}
