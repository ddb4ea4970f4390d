#pragma once

#include <LibSettings/CheckedTable.h>
#include <LibSettings/SettingsFault.h>
#include <memory>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// A TOML text that is read key by key while faults are collected, so that all are reported at once.
class CheckedDocument {
public:
    /// `file` only names the text in faults. A syntax error is a fault; the root is then an empty table.
    CheckedDocument(std::string_view toml, std::string file);

    /// Reads a file; one that cannot be read is a fault.
    static CheckedDocument fromFile(std::string const& path);

    CheckedTable root() const;

    /// Whether the text is TOML. Faults of missing keys mean nothing when it is not.
    bool isParsed() const;

    /// All faults so far, ordered by line.
    SettingsFaults faults() const;

private:
    std::shared_ptr<CheckedTableState> m_state;
};

}
