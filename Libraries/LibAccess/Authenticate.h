#pragma once

#include <LibAccess/KeyRefusal.h>
#include <LibAccess/KeyTable.h>
#include <span>
#include <string_view>
#include <variant>

namespace Comfreysail::Access {

/// Never holds nullptr.
using Authentication = std::variant<Department const*, KeyRefusal>;

/// Finds the department of a request by the values of all its Authorization fields. The scheme "Token" is compared
/// without regard to case (RFC 9110, 11.1).
Authentication authenticate(KeyTable const&, std::span<std::string_view const> authorizationValues);

/// The department, or nullptr if the request belongs to none.
Department const* departmentOf(Authentication const&);

}
