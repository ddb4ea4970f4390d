#include <LibOverload/Decision.h>

#include <array>

namespace Comfreysail::Overload {

std::string_view actionName(Action action)
{
    constexpr std::array<std::string_view, 3> names { "send", "wait", "refuse" };
    return names.at(static_cast<size_t>(action));
}

std::string_view reasonName(Reason reason)
{
    constexpr std::array<std::string_view, 6> names { "none", "no_room", "late", "rank", "department", "no_time" };
    return names.at(static_cast<size_t>(reason));
}

}
