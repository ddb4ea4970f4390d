#include "RequestIdentity.h"

namespace Comfreysail::Daemon {

RequestIdentity identifyRequest(Traffic::TrafficPlan const& plan, Traffic::RequestRoute const& route,
    std::span<std::string_view const> authorizationValues)
{
    RequestIdentity identity;
    identity.rank = route.priority;
    if (!plan.keys)
        return identity;
    identity.isKeyNeeded = !route.isPublic;
    auto const authentication = Access::authenticate(*plan.keys, authorizationValues);
    identity.department = Access::departmentOf(authentication);
    if (identity.department)
        identity.rank = identity.department->priority.value_or(identity.rank);
    if (auto const* const refusal = std::get_if<Access::KeyRefusal>(&authentication))
        identity.keyFault = Access::errorKindOf(*refusal);
    return identity;
}

}
