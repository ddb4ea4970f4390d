#pragma once

#include <LibCore/ErrorKind.h>
#include <string>

namespace Comfreysail::Core {

/// An error. The kind selects the response to the caller; the detail describes the cause, usually in one line.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string detail;

    bool operator==(Error const&) const = default;
};

}
