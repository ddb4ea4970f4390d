#pragma once

#include <LibCore/ErrorKind.h>
#include <string>

namespace Comfreysail::Core {

/// A failure: its kind decides the answer to the caller, its detail says in one line what happened.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string detail;

    bool operator==(Error const&) const = default;
};

}
