#include <LibAccess/KeyTable.h>

#include <algorithm>
#include <unordered_set>

namespace Comfreysail::Access {

using Core::Error;
using Core::ErrorKind;
using Core::Result;

namespace {

bool isVisibleAscii(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) { return character > ' ' && character < '\x7f'; });
}

}

bool isValidKey(std::string_view key) { return !key.empty() && key.size() <= maxKeyBytes && isVisibleAscii(key); }

Result<KeyTable> KeyTable::build(std::vector<DepartmentKeys> const& entries)
{
    KeyTable table;
    size_t keys = 0;
    for (auto const& entry : entries)
        keys += entry.apiKeys.size();
    table.m_departments.reserve(entries.size());
    table.m_departmentOfKey.reserve(keys);
    std::unordered_set<std::string_view> names;
    for (auto const& [department, apiKeys] : entries) {
        if (department.name.empty() || !isVisibleAscii(department.name))
            return Error { ErrorKind::InvalidSettings, "a department's name is not of visible ASCII characters" };
        if (!names.insert(department.name).second)
            return Error { ErrorKind::InvalidSettings, "two departments have the name " + department.name };
        auto const index = static_cast<uint32_t>(table.m_departments.size());
        table.m_departments.push_back(department);
        for (auto const key : apiKeys) {
            if (!isValidKey(key))
                return Error { ErrorKind::InvalidSettings,
                    "a key of department " + department.name + " is not of 1 to 256 visible ASCII characters" };
            auto const [found, isNew] = table.m_departmentOfKey.emplace(key, index);
            if (!isNew && found->second != index)
                return Error { ErrorKind::InvalidSettings,
                    "departments " + table.m_departments[found->second].name + " and " + department.name
                        + " share a key" };
        }
    }
    return table;
}

Department const* KeyTable::find(std::string_view key) const
{
    auto const found = m_departmentOfKey.find(key);
    return found == m_departmentOfKey.end() ? nullptr : &m_departments[found->second];
}

}
