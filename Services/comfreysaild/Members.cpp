#include "Members.h"

#include "RowAdopter.h"
#include <charconv>

namespace Comfreysail::Daemon {

std::vector<Traffic::RelayMember> membersOf(Traffic::SharedRows const& rows)
{
    std::vector<Traffic::RelayMember> members;
    for (auto const& [name, text] : rows.table(Platform::Table::members))
        members.push_back(Traffic::parseMember(name, storeRow(name, text).value));
    return members;
}

std::optional<HTTP::Endpoint> parseEndpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    HTTP::Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    auto const* const end = text.data() + text.size();
    auto const [parsedTo, error] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    return error == std::errc() && parsedTo == end ? std::optional(endpoint) : std::nullopt;
}

}
