#pragma once

#include <LibCore/Error.h>
#include <utility>
#include <variant>

namespace Comfreysail::Core {

/// Either a value or an error. Functions that can fail return it; nothing is thrown across a library boundary.
template<typename T> using Result = std::variant<T, Error>;

/// The value type of a Result that carries no value on success.
using Empty = std::monostate;

template<typename T> [[nodiscard]] bool isError(Result<T> const& result)
{
    return std::holds_alternative<Error>(result);
}

/// The error of a result. Call it only if isError() is true.
template<typename T> [[nodiscard]] Error const& errorOf(Result<T> const& result) { return std::get<Error>(result); }

/// The value of a result. Call it only if isError() is false.
template<typename T> [[nodiscard]] T const& valueOf(Result<T> const& result) { return std::get<T>(result); }

template<typename T> [[nodiscard]] T takeValue(Result<T>&& result) { return std::get<T>(std::move(result)); }

}
