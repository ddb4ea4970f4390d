#include <LibCore/Names.h>
#include <LibSettings/TextRule.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <string>

namespace Comfreysail::Settings {

namespace {

bool isIpAddress(std::string_view text)
{
    std::string const address(text);
    std::array<unsigned char, sizeof(in6_addr)> buffer {};
    return inet_pton(AF_INET, address.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, address.c_str(), buffer.data()) == 1;
}

bool isHost(std::string_view text)
{
    return !text.empty() && text.size() <= 253 && std::ranges::all_of(text, [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-'
            || character == '.';
    });
}

bool isPathPrefix(std::string_view text)
{
    return text.starts_with('/') && text.size() <= 1024 && std::ranges::all_of(text, [](char character) {
        return character > ' ' && character < 0x7f && character != '?' && character != '#';
    });
}

bool isMethod(std::string_view text)
{
    static constexpr std::array<std::string_view, 8> methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE",
        "OPTIONS", "*" };
    return std::ranges::find(methods, text) != methods.end();
}

bool isHostPort(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    auto address = text.substr(0, colon);
    auto const isBracketed = address.size() > 2 && address.starts_with('[') && address.ends_with(']');
    if (isBracketed)
        address = address.substr(1, address.size() - 2);
    else if (address.find(':') != std::string_view::npos)
        return false;
    auto const port = text.substr(colon + 1);
    if (port.empty() || port.size() > 5
        || !std::ranges::all_of(port, [](char digit) { return digit >= '0' && digit <= '9'; }))
        return false;
    auto const number = std::stoi(std::string(port));
    return isIpAddress(address) && number >= 1 && number <= 65535;
}

}

TextRule const nameRule { Core::isValidName,
    "1 to 64 characters from a-z, 0-9, '-' and '.', starting with a letter or digit" };
TextRule const ipAddressRule { isIpAddress, "an IPv4 or IPv6 address" };
TextRule const hostRule { isHost, "a host name of up to 253 characters from a-z, 0-9, '-' and '.', without a port" };
TextRule const pathPrefixRule { isPathPrefix,
    "a path of up to 1024 visible ASCII characters that starts with '/', without '?' and '#'" };
TextRule const methodRule { isMethod, "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or \"*\" for any" };
TextRule const hostPortRule { isHostPort, "an IP address and a port from 1 to 65535, such as 127.0.0.1:8080" };

}
