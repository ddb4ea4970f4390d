#include <LibTraffic/RestoredTable.h>

namespace Comfreysail::Traffic {

namespace {

/// The text of a row; nullptr if there is none.
std::string const* textOf(SharedRows::Table const& table, std::string const& key)
{
    auto const found = table.find(key);
    return found == table.end() ? nullptr : &found->second;
}

bool areSame(std::string const* left, std::string const* right)
{
    return left && right ? *left == *right : left == right;
}

}

bool isSettling(RestoredTable const& table, Core::Instant now) { return now - table.firstReadAt < table.settlingTime; }

SharedRows::Table settledRows(RestoredTable const& table, SharedRows::Table const& stored, Core::Instant now)
{
    if (!isSettling(table, now))
        return stored;
    auto const hasChanged
        = [&](std::string const& key) { return !areSame(textOf(table.firstRead, key), textOf(stored, key)); };
    SharedRows::Table rows;
    for (auto const& [key, text] : table.inForce) {
        if (!hasChanged(key))
            rows.emplace(key, text);
    }
    for (auto const& [key, text] : stored) {
        if (hasChanged(key))
            rows.insert_or_assign(key, text);
    }
    return rows;
}

}
