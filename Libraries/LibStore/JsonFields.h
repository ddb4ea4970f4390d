#pragma once

#include <LibCore/Result.h>
#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Store {

/// Reads the fields of a JSON object and keeps the first error. A required field that is missing or invalid reads as an
/// empty text or the minimum. Not part of the public header.
class JsonFields {
public:
    /// `subject` names the object in error messages, such as "row settings/head".
    JsonFields(std::string_view json, std::string subject);

    std::string text(std::string_view field);
    std::optional<std::string> optionalText(std::string_view field);
    int64_t integer(std::string_view field, int64_t minimum);

    void addFault(std::string const& fault);
    std::optional<Core::Error> const& error() const { return m_error; }

private:
    boost::json::value const* find(std::string_view field) const;

    std::string m_subject;
    boost::json::object m_object;
    std::optional<Core::Error> m_error;
};

}
