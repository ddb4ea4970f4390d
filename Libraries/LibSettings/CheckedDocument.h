#pragma once

#include <LibSettings/CheckedTable.h>
#include <LibSettings/SettingsFault.h>
#include <memory>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// A TOML document whose values are validated while they are read. Faults are collected, so that all are reported at
/// once.
class CheckedDocument {
public:
    /// `file` is only the file name in faults. A syntax error is a fault; the root is then an empty table.
    CheckedDocument(std::string_view toml, std::string file);

    /// Reads a file; one that cannot be read is a fault.
    static CheckedDocument fromFile(std::string const& path);

    CheckedTable root() const;

    /// False if the text is not valid TOML; faults about missing keys are meaningless then.
    bool isParsed() const;

    /// All faults so far, ordered by line.
    SettingsFaults faults() const;

private:
    std::shared_ptr<CheckedTableState> m_state;
};

}
