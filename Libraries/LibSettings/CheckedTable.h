#pragma once

#include <LibSettings/IntegerRange.h>
#include <LibSettings/TextRule.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Comfreysail::Settings {

struct CheckedTableState;

enum class Presence : uint8_t { Optional, Required };

/// One table of a CheckedDocument. Each read checks type and range; if a check fails, it adds a fault and returns no
/// value. The table keeps its document alive.
class CheckedTable {
public:
    std::optional<int64_t> integer(std::string_view key, IntegerRange const&, Presence = Presence::Optional);
    int64_t integerOr(std::string_view key, IntegerRange const&, int64_t fallback);
    std::optional<bool> boolean(std::string_view key, Presence = Presence::Optional);
    std::optional<std::string> text(std::string_view key, TextRule const&, Presence = Presence::Optional);
    /// Index into the choices.
    std::optional<size_t> choice(
        std::string_view key, std::span<std::string_view const> choices, Presence = Presence::Optional);
    std::vector<std::string> texts(std::string_view key, TextRule const&, Presence = Presence::Optional);

    std::optional<CheckedTable> table(std::string_view key, Presence = Presence::Optional);
    /// The tables inside the table `key`, with their names, which must be valid names (Core::isValidName).
    std::vector<std::pair<std::string, CheckedTable>> namedTables(std::string_view key, Presence = Presence::Optional);
    /// The elements of an array of tables.
    std::vector<CheckedTable> tables(std::string_view key, Presence = Presence::Optional);

    /// Adds a fault for every key that was not read. Call it after the last read.
    void refuseOtherKeys();

    /// Adds a fault at the line of the key, or of the table if the key is absent or empty.
    void addFault(std::string_view key, std::string problem);

    /// Dotted path of the table; empty for the root.
    std::string const& path() const { return m_path; }

private:
    friend class CheckedDocument;

    CheckedTable(std::shared_ptr<CheckedTableState>, void const* table, std::string path);

    /// The node of a key as toml::node, or nullptr. Marks the key as known.
    void const* find(std::string_view key, Presence);

    std::shared_ptr<CheckedTableState> m_state;
    void const* m_table; ///< A toml::table; including toml++ here would add seconds to every user's compile time.
    std::string m_path;
    std::set<std::string, std::less<>> m_knownKeys;
};

}
