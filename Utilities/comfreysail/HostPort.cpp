#include "HostPort.h"
#include <LibSettings/TextRule.h>

namespace Comfreysail::Tool {

std::optional<HostPort> HostPort::parse(std::string_view text)
{
    if (!Settings::hostPortRule.accepts(text))
        return {};
    auto const colon = text.rfind(':');
    auto address = text.substr(0, colon);
    if (address.starts_with('['))
        address = address.substr(1, address.size() - 2);
    return HostPort { std::string(address), static_cast<uint16_t>(std::stoi(std::string(text.substr(colon + 1)))) };
}

std::string HostPort::text() const
{
    auto const isIpv6 = address.find(':') != std::string::npos;
    return (isIpv6 ? '[' + address + ']' : address) + ':' + std::to_string(port);
}

}
