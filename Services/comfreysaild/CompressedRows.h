#pragma once

#include <LibTraffic/Traffic.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Comfreysail::Daemon {

/// The compressed form of a row's text.
struct CompressedText {
    std::string encoded; ///< A Zstandard frame in base64.
    /// Hash of the earlier text of the row that is needed to restore this one; absent if none is.
    std::optional<uint64_t> baseHash;

    bool operator==(CompressedText const&) const = default;
};

/// The compressed forms of large shared rows. A daemon that has an earlier text of the row gets only the difference,
/// and the daemons pass on the form that they received. Without that, settings of some thousand routes took seconds to
/// pass the levels of the relay tree over links of 10 Mbit/s, even if they had hardly changed.
class CompressedRows {
public:
    using Hashes = std::set<uint64_t>;

    /// Returns the compressed form of the row for a daemon that has texts with these hashes, or std::nullopt for a row
    /// that is too small to gain from it.
    std::optional<CompressedText> find(Traffic::SharedRow const&, Hashes const& bases);

    /// Restores the text of a row that another daemon sent and keeps its compressed form. Returns std::nullopt if it is
    /// damaged or too large, or if its base is not known. Its texts are forgotten then, so that the next request asks
    /// for all of it.
    std::optional<std::string> add(std::string const& table, std::string const& key, CompressedText);

    /// Keeps the texts of the large ones of these rows as bases.
    void note(std::string_view table, Traffic::SharedRows::Table const&);
    /// The hashes of the newest texts.
    Hashes hashes() const;

private:
    struct Entry {
        uint64_t textHash { 0 };
        std::string text;
        std::vector<std::pair<uint64_t, std::string>> earlierTexts; ///< By hash, the newest first.
        /// Compressed forms of `text` by the hash of their base; 0 for that without a base.
        std::map<uint64_t, std::string> encoded;
    };

    Entry& update(std::string_view table, std::string_view key, std::string_view text);

    std::map<std::pair<std::string, std::string>, Entry> m_entries; ///< By table and key.
};

}
