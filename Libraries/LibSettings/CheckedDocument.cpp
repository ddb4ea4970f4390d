#include <LibSettings/CheckedDocument.h>
#include <LibSettings/CheckedTableState.h>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

namespace Comfreysail::Settings {

CheckedDocument::CheckedDocument(std::string_view toml, std::string file)
    : m_state(std::make_shared<CheckedTableState>())
{
    m_state->file = std::move(file);
    try {
        m_state->root = toml::parse(toml, m_state->file);
        m_state->isParsed = true;
    } catch (toml::parse_error const& error) {
        m_state->faults.push_back(
            { m_state->file, error.source().begin.line, {}, "not valid TOML: " + std::string(error.description()) });
    }
}

CheckedDocument CheckedDocument::fromFile(std::string const& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::string const text { std::istreambuf_iterator<char>(stream), {} };
    if (stream.is_open() && !stream.bad())
        return { text, path };
    auto const reason = std::string(std::strerror(errno));
    CheckedDocument document({}, path);
    document.m_state->isParsed = false;
    document.m_state->faults.push_back({ path, 0, {}, "cannot read the file: " + reason });
    return document;
}

CheckedTable CheckedDocument::root() const { return { m_state, &m_state->root, {} }; }

bool CheckedDocument::isParsed() const { return m_state->isParsed; }

SettingsFaults CheckedDocument::faults() const
{
    auto faults = m_state->faults;
    std::ranges::stable_sort(faults, {}, &SettingsFault::line);
    return faults;
}

}
