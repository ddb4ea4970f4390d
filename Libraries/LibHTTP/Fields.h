#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::HTTP {

struct Field {
    std::string name;
    std::string value;

    bool operator==(Field const&) const = default;
};

/// Header fields in order of arrival. Names are case-insensitive.
class Fields {
public:
    std::optional<std::string_view> find(std::string_view name) const;
    bool contains(std::string_view name) const { return find(name).has_value(); }

    /// True if a comma-separated list field contains the token, ignoring case.
    bool containsToken(std::string_view name, std::string_view token) const;

    void add(std::string_view name, std::string_view value);

    /// Replaces all fields of this name by one.
    void set(std::string_view name, std::string_view value);

    void remove(std::string_view name);

    std::vector<Field> const& all() const { return m_fields; }

    bool operator==(Fields const&) const = default;

private:
    std::vector<Field> m_fields;
};

bool equalsIgnoringCase(std::string_view, std::string_view);

/// The non-empty elements of a comma-separated list, without surrounding whitespace.
std::vector<std::string_view> splitList(std::string_view);

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1): Connection, the fields that it names, and a fixed list.
/// Content-Length, Host, Idempotency-Key and Comfreysail-* are kept even if Connection names them, because a caller
/// could otherwise strip fields that this daemon or a target relies on.
void removeHopByHopFields(Fields&);

}
