#pragma once

#include "RowAdopter.h"
#include <LibHTTP/Asio.h>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

/// Reads tables of the platform's store into the shared rows, and writes this daemon's rows.
class StoreReader {
public:
    StoreReader(Platform::StoreClient&, EntryState&, RowAdopter&);

    /// Reads a whole table into the shared rows. False if the store did not respond in time or returned a revision
    /// older than the known one.
    HTTP::awaitable<bool> readTable(std::string_view table);
    /// Reads the rows of a part of a table; std::nullopt on failure.
    HTTP::awaitable<std::optional<std::vector<Platform::StoreRow>>> readRows(
        std::string_view table, std::string_view part);
    /// Writes a row. If `isConditional`, only if the store's row still has the revision of the given one. True if the
    /// row was written.
    HTTP::awaitable<bool> write(Platform::StoreRow, bool isConditional);
    /// Applies changes to rows of one table. True if they were applied.
    HTTP::awaitable<bool> write(std::string_view table, Platform::RowTransaction);

private:
    void noteStoreCall(std::string_view table, bool isReachable, std::string_view reason);

    Platform::StoreClient& m_client;
    EntryState& m_state;
    RowAdopter& m_adopter;
    /// Returns the rows of a table to use: those of the store, except while it settles after a return from a copy.
    Traffic::SharedRows::Table settle(std::string_view table, Traffic::SharedRows::Table stored, Core::Instant now);

    uint64_t m_lastRevision { 0 }; ///< Store revision of the last readRows().
    std::map<std::string, Traffic::RestoredTable, std::less<>> m_restoredTables; ///< By table.
    /// False if the last readRows() took several pages, whose rows may differ in revision.
    bool m_isLastReadConsistent { true };
    std::map<std::string, bool, std::less<>> m_isTableReachable; ///< By table.
};

}
