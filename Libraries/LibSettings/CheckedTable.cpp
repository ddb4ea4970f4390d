#include <LibCore/Names.h>
#include <LibSettings/CheckedTable.h>
#include <LibSettings/CheckedTableState.h>
#include <LibSettings/TomlText.h>
#include <algorithm>

namespace Comfreysail::Settings {

namespace {

toml::node const* asNode(void const* node) { return static_cast<toml::node const*>(node); }

std::string typeText(toml::node const& node)
{
    if (auto const* text = node.as_string())
        return tomlString(text->get());
    if (auto const* integer = node.as_integer())
        return std::to_string(integer->get());
    switch (node.type()) {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::boolean:
        return "a boolean";
    case toml::node_type::floating_point:
        return "a floating-point number";
    default:
        return "a date or time";
    }
}

std::string mustBe(std::string_view allowed, toml::node const& found)
{
    return "must be " + std::string(allowed) + ", but is " + typeText(found);
}

}

std::string IntegerRange::text() const
{
    auto result = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    return unit.empty() ? result : result + " (" + unit + ')';
}

CheckedTable::CheckedTable(std::shared_ptr<CheckedTableState> state, void const* table, std::string path)
    : m_state(std::move(state))
    , m_table(table)
    , m_path(std::move(path))
{
}

void const* CheckedTable::find(std::string_view key, Presence presence)
{
    m_knownKeys.emplace(key);
    auto const* node = static_cast<toml::table const*>(m_table)->get(key);
    if (!node && presence == Presence::Required)
        addFault(key, "is required");
    return node;
}

void CheckedTable::addFault(std::string_view key, std::string problem)
{
    auto const& table = *static_cast<toml::table const*>(m_table);
    auto const* node = key.empty() ? nullptr : table.get(key);
    auto const line = node ? node->source().begin.line : table.source().begin.line;
    m_state->faults.push_back(
        { m_state->file, line, key.empty() ? m_path : joinPath(m_path, key), std::move(problem) });
}

std::optional<int64_t> CheckedTable::integer(std::string_view key, IntegerRange const& range, Presence presence)
{
    auto const* node = asNode(find(key, presence));
    if (!node)
        return {};
    auto const* integer = node->as_integer();
    if (integer && range.contains(integer->get()))
        return integer->get();
    addFault(key, mustBe(range.text(), *node));
    return {};
}

int64_t CheckedTable::integerOr(std::string_view key, IntegerRange const& range, int64_t fallback)
{
    return integer(key, range).value_or(fallback);
}

std::optional<bool> CheckedTable::boolean(std::string_view key, Presence presence)
{
    auto const* node = asNode(find(key, presence));
    if (!node)
        return {};
    if (auto const* boolean = node->as_boolean())
        return boolean->get();
    addFault(key, mustBe("true or false", *node));
    return {};
}

std::optional<std::string> CheckedTable::text(std::string_view key, TextRule const& rule, Presence presence)
{
    auto const* node = asNode(find(key, presence));
    if (!node)
        return {};
    auto const* text = node->as_string();
    if (text && rule.accepts(text->get()))
        return text->get();
    addFault(key, mustBe(rule.allowed, *node));
    return {};
}

std::optional<size_t> CheckedTable::choice(
    std::string_view key, std::span<std::string_view const> choices, Presence presence)
{
    auto const* node = asNode(find(key, presence));
    if (!node)
        return {};
    if (auto const* text = node->as_string()) {
        auto const found = std::ranges::find(choices, std::string_view(text->get()));
        if (found != choices.end())
            return static_cast<size_t>(found - choices.begin());
    }
    std::string allowed = "one of";
    for (size_t index = 0; index < choices.size(); ++index)
        allowed += (index ? ", " : " ") + tomlString(choices[index]);
    addFault(key, mustBe(allowed, *node));
    return {};
}

std::vector<std::string> CheckedTable::texts(std::string_view key, TextRule const& rule, Presence presence)
{
    auto const* node = asNode(find(key, presence));
    if (!node)
        return {};
    auto const* array = node->as_array();
    if (!array) {
        addFault(key, mustBe("an array of strings", *node));
        return {};
    }
    std::vector<std::string> result;
    for (auto const& element : *array) {
        auto const* text = element.as_string();
        if (text && rule.accepts(text->get()))
            result.push_back(text->get());
        else
            addFault(key, "each element " + mustBe(rule.allowed, element));
    }
    return result;
}

std::optional<CheckedTable> CheckedTable::table(std::string_view key, Presence presence)
{
    auto const* node = asNode(find(key, presence));
    if (!node)
        return {};
    if (auto const* table = node->as_table())
        return CheckedTable(m_state, table, joinPath(m_path, key));
    addFault(key, mustBe("a table", *node));
    return {};
}

std::vector<std::pair<std::string, CheckedTable>> CheckedTable::namedTables(std::string_view key, Presence presence)
{
    std::vector<std::pair<std::string, CheckedTable>> result;
    auto parent = table(key, presence);
    if (!parent)
        return result;
    for (auto const& [name, node] : *static_cast<toml::table const*>(parent->m_table)) {
        auto const& nameText = name.str();
        if (!Core::isValidName(nameText))
            parent->addFault(nameText, "the name must be " + std::string(nameRule.allowed));
        else if (auto child = parent->table(nameText))
            result.emplace_back(nameText, std::move(*child));
    }
    return result;
}

std::vector<CheckedTable> CheckedTable::tables(std::string_view key, Presence presence)
{
    auto const* node = asNode(find(key, presence));
    if (!node)
        return {};
    auto const* array = node->as_array();
    if (!array) {
        addFault(key, mustBe("an array of tables", *node));
        return {};
    }
    std::vector<CheckedTable> result;
    for (size_t index = 0; index < array->size(); ++index) {
        auto const& element = (*array)[index];
        if (auto const* table = element.as_table())
            result.push_back(CheckedTable(m_state, table, joinPath(m_path, key) + '[' + std::to_string(index) + ']'));
        else
            addFault(key, "each element " + mustBe("a table", element));
    }
    return result;
}

void CheckedTable::refuseOtherKeys()
{
    for (auto const& [name, node] : *static_cast<toml::table const*>(m_table)) {
        auto const& nameText = name.str();
        if (m_knownKeys.contains(nameText))
            continue;
        std::string known;
        for (auto const& key : m_knownKeys)
            known += (known.empty() ? "" : ", ") + key;
        addFault(nameText, "is not a known key; known here: " + known);
    }
}

}
