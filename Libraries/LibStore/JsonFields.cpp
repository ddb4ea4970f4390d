#include <LibStore/JsonFields.h>

namespace Comfreysail::Store {

JsonFields::JsonFields(std::string_view json, std::string subject)
    : m_subject(std::move(subject))
{
    boost::json::error_code code;
    auto value = boost::json::parse({ json.data(), json.size() }, code);
    if (code)
        addFault("is not valid JSON: " + code.message());
    else if (!value.is_object())
        addFault("is not a JSON object");
    else
        m_object = std::move(value.as_object());
}

boost::json::value const* JsonFields::find(std::string_view field) const
{
    return m_object.if_contains({ field.data(), field.size() });
}

void JsonFields::addFault(std::string const& fault)
{
    if (!m_error)
        m_error = Core::Error { Core::ErrorKind::InvalidSettings, m_subject + ' ' + fault };
}

std::string JsonFields::text(std::string_view field)
{
    auto result = optionalText(field);
    if (!result)
        addFault("has no text field \"" + std::string(field) + '"');
    return result.value_or("");
}

std::optional<std::string> JsonFields::optionalText(std::string_view field)
{
    auto const* value = find(field);
    if (!value || !value->is_string())
        return {};
    return std::string(value->get_string());
}

int64_t JsonFields::integer(std::string_view field, int64_t minimum)
{
    auto const* value = find(field);
    if (!value || !value->is_int64() || value->get_int64() < minimum) {
        addFault(
            "has no whole number of at least " + std::to_string(minimum) + " in field \"" + std::string(field) + '"');
        return minimum;
    }
    return value->get_int64();
}

}
