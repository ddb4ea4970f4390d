#pragma once

#include <LibAccess/DepartmentKeys.h>
#include <LibAccess/KeyHash.h>
#include <LibCore/Result.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Comfreysail::Access {

/// Longer keys are refused, in requests and in the operators' settings.
inline constexpr size_t maxKeyBytes = 256;

/// True if the text is a key that a client can present: 1 to maxKeyBytes visible ASCII characters.
bool isValidKey(std::string_view);

/// The API keys of all departments. Immutable. Gives no access to the keys that it holds, and has no output operator,
/// so that no key reaches a log.
class KeyTable {
public:
    /// Errors: InvalidSettings with the name of the department in the detail, never a key. Names have to be distinct
    /// and of visible ASCII characters, since they are sent in a header field; keys have to be valid, and no two
    /// departments may share one.
    static Core::Result<KeyTable> build(std::vector<DepartmentKeys> const&);

    /// The department that has this key, or nullptr. The pointer is valid as long as the table, and after moving it.
    Department const* find(std::string_view key) const;

    /// In the order in which they were passed to build().
    std::vector<Department> const& departments() const { return m_departments; }
    size_t keyCount() const { return m_departmentOfKey.size(); }

    bool operator==(KeyTable const&) const = default;

private:
    KeyTable() = default;

    std::vector<Department> m_departments;
    std::unordered_map<std::string, uint32_t, KeyHash, std::equal_to<>> m_departmentOfKey; ///< Index in m_departments.
};

}
