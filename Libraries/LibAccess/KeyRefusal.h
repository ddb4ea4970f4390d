#pragma once

#include <LibCore/ErrorKind.h>
#include <cstdint>

namespace Comfreysail::Access {

/// Why a request belongs to no department.
enum class KeyRefusal : uint8_t {
    NoKey,     ///< There is no Authorization field.
    Malformed, ///< The field is not "Token" and one key of visible ASCII characters.
    Repeated,  ///< There is more than one Authorization field.
    TooLong,   ///< The key is longer than maxKeyBytes.
    Unknown,   ///< No department has this key.
};

/// The error kind of the response, with status 401.
Core::ErrorKind errorKindOf(KeyRefusal);

}
