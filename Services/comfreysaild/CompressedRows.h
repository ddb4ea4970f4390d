#pragma once

#include <LibTraffic/Traffic.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Comfreysail::Daemon {

/// The compressed forms of large shared rows. A row is compressed by the daemon that read it from the store; the others
/// pass on the form that they received. Without it, settings of 1,700 routes took seconds to pass three levels of the
/// relay tree over links of 10 Mbit/s.
class CompressedRows {
public:
    /// Returns the compressed text of the row in base64, or std::nullopt for a row that is too small to gain from it.
    std::optional<std::string_view> find(Traffic::SharedRow const&);

    /// Restores the text of a row that another daemon sent and keeps its compressed form. Returns std::nullopt if it is
    /// damaged or too large.
    std::optional<std::string> add(std::string const& table, std::string const& key, std::string encoded);

private:
    struct Entry {
        uint64_t textHash { 0 };
        std::string encoded;
    };

    std::map<std::pair<std::string, std::string>, Entry> m_entries; ///< By table and key.
};

}
