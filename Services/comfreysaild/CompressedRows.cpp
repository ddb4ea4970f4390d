#include "CompressedRows.h"

#include <LibCore/Core.h>
#include <algorithm>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

namespace {

// Smaller rows are sent with others in a few packets anyway.
constexpr size_t minCompressedBytes = size_t { 4 } * 1024;
// Largest row that is restored; a transaction of the store has a megabyte at most.
constexpr size_t maxRowBytes = size_t { 4 } << 20;
// Operators write a few large rows. More entries would be those of removed rows.
constexpr size_t maxEntries = 64;
// A daemon may lag behind by more than one change while settings change in quick succession.
constexpr size_t maxEarlierTexts = 2;
constexpr uint64_t noBase = 0;

}

CompressedRows::Entry& CompressedRows::update(std::string_view table, std::string_view key, std::string_view text)
{
    auto const hash = Core::hashBytes(text);
    if (m_entries.size() >= maxEntries)
        m_entries.clear();
    auto& entry = m_entries[{ std::string(table), std::string(key) }];
    if (entry.textHash == hash && entry.text == text)
        return entry;
    if (!entry.text.empty())
        entry.earlierTexts.emplace(entry.earlierTexts.begin(), entry.textHash, std::move(entry.text));
    if (entry.earlierTexts.size() > maxEarlierTexts)
        entry.earlierTexts.pop_back();
    entry.textHash = hash;
    entry.text = std::string(text);
    entry.encoded.clear();
    return entry;
}

std::optional<CompressedText> CompressedRows::find(Traffic::SharedRow const& row, Hashes const& bases)
{
    if (!row.text || row.text->size() < minCompressedBytes)
        return std::nullopt;
    auto& entry = update(row.table, row.key, *row.text);
    auto const base = std::ranges::find_if(
        entry.earlierTexts, [&bases](auto const& earlier) { return bases.contains(earlier.first); });
    bool const hasBase = base != entry.earlierTexts.end();
    auto& encoded = entry.encoded[hasBase ? base->first : noBase];
    if (encoded.empty())
        encoded = Platform::encodeBase64(Core::compress(entry.text, hasBase ? base->second : std::string_view()));
    return CompressedText { encoded, hasBase ? std::optional(base->first) : std::nullopt };
}

std::optional<std::string> CompressedRows::add(
    std::string const& table, std::string const& key, CompressedText compressed)
{
    std::string_view base;
    if (auto const found = m_entries.find({ table, key }); found != m_entries.end() && compressed.baseHash) {
        if (found->second.textHash == *compressed.baseHash)
            base = found->second.text;
        for (auto const& [hash, text] : found->second.earlierTexts)
            base = hash == *compressed.baseHash ? std::string_view(text) : base;
    }
    auto const frame = Platform::decodeBase64(compressed.encoded);
    bool const isUsable = !isError(frame) && base.empty() != compressed.baseHash.has_value();
    auto text = isUsable ? Core::decompress(valueOf(frame), maxRowBytes, base) : std::nullopt;
    if (!text) {
        m_entries.erase({ table, key });
        return std::nullopt;
    }
    if (text->size() >= minCompressedBytes)
        update(table, key, *text).encoded[compressed.baseHash.value_or(noBase)] = std::move(compressed.encoded);
    return text;
}

void CompressedRows::note(std::string_view table, Traffic::SharedRows::Table const& rows)
{
    for (auto const& [key, text] : rows) {
        if (text.size() >= minCompressedBytes)
            update(table, key, text);
    }
}

CompressedRows::Hashes CompressedRows::hashes() const
{
    Hashes hashes;
    for (auto const& [tableAndKey, entry] : m_entries)
        hashes.insert(entry.textHash);
    return hashes;
}

}
