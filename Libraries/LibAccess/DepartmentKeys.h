#pragma once

#include <LibAccess/Department.h>
#include <string_view>
#include <vector>

namespace Comfreysail::Access {

/// A department with its API keys, from which a KeyTable is built. The keys refer to memory of the caller.
struct DepartmentKeys {
    Department department;
    std::vector<std::string_view> apiKeys; ///< May be empty: the department then gets no access.
};

}
