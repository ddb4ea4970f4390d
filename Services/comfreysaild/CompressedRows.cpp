#include "CompressedRows.h"

#include <LibCore/Core.h>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

namespace {

// Smaller rows are sent with others in a few packets anyway.
constexpr size_t minCompressedBytes = size_t { 4 } * 1024;
// Largest row that is restored; a transaction of the store has a megabyte at most.
constexpr size_t maxRowBytes = size_t { 4 } << 20;
// Operators write a few large rows. More entries would be those of removed rows.
constexpr size_t maxEntries = 64;

}

std::optional<std::string_view> CompressedRows::find(Traffic::SharedRow const& row)
{
    if (!row.text || row.text->size() < minCompressedBytes)
        return std::nullopt;
    auto const hash = Core::hashBytes(*row.text);
    if (m_entries.size() >= maxEntries)
        m_entries.clear();
    auto& entry = m_entries[{ row.table, row.key }];
    if (entry.encoded.empty() || entry.textHash != hash)
        entry = { hash, Platform::encodeBase64(Core::compress(*row.text)) };
    return entry.encoded;
}

std::optional<std::string> CompressedRows::add(std::string const& table, std::string const& key, std::string encoded)
{
    auto const frame = Platform::decodeBase64(encoded);
    if (isError(frame))
        return std::nullopt;
    auto text = Core::decompress(valueOf(frame), maxRowBytes);
    if (text && m_entries.size() < maxEntries)
        m_entries[{ table, key }] = { Core::hashBytes(*text), std::move(encoded) };
    return text;
}

}
