#include "EvidenceCodec.h"
#include <Wire.pb.h>
#include <array>
#include <limits>
#include <map>
#include <utility>

namespace Comfreysail::Wire {

namespace {

using Moves::Counters;

constexpr int numbersPerEntry = 14;
constexpr int maxEntries = 4096;

constexpr std::array<uint64_t Counters::*, 7> counterFields { &Counters::successes, &Counters::failures,
    &Counters::lost, &Counters::loadedSuccesses, &Counters::timed, &Counters::logLatencySum,
    &Counters::logLatencySquareSum };

/// Assigns consecutive indexes to distinct values and calls `add` for each new value.
template<typename Value> class IndexTable {
public:
    template<typename Add> uint64_t indexOf(Value const& value, Add add)
    {
        auto const [position, isNew] = m_indexes.try_emplace(value, m_indexes.size());
        if (isNew)
            add(value);
        return position->second;
    }

private:
    std::map<Value, uint64_t> m_indexes;
};

}

void encodeEvidence(Moves::EvidenceDelta const& delta, Protobuf::EvidenceDelta& encoded)
{
    IndexTable<std::pair<std::string, uint64_t>> origins;
    IndexTable<std::string> names;
    IndexTable<int64_t> slots;
    auto const addOrigin = [&](auto const& origin) {
        encoded.add_origins(origin.first);
        encoded.add_origin_incarnations(origin.second);
    };
    auto const addName = [&](std::string const& name) { encoded.add_names(name); };
    auto const addSlot = [&](int64_t slot) { encoded.add_slots(slot); };
    for (auto const& entry : delta.entries) {
        encoded.add_entries(origins.indexOf({ entry.origin, entry.originIncarnation }, addOrigin));
        encoded.add_entries(names.indexOf(entry.key.service, addName));
        encoded.add_entries(names.indexOf(entry.key.version, addName));
        encoded.add_entries(names.indexOf(entry.key.route, addName));
        encoded.add_entries(names.indexOf(entry.key.availabilityZone, addName));
        encoded.add_entries(slots.indexOf(entry.slot, addSlot));
        encoded.add_entries(entry.key.target);
        for (auto const field : counterFields)
            encoded.add_entries(entry.counters.*field);
    }
}

std::optional<Moves::EvidenceDelta> decodeEvidence(Protobuf::EvidenceDelta const& encoded)
{
    if (encoded.entries_size() % numbersPerEntry != 0 || encoded.entries_size() / numbersPerEntry > maxEntries
        || encoded.origins_size() != encoded.origin_incarnations_size())
        return {};
    Moves::EvidenceDelta delta;
    delta.entries.reserve(static_cast<size_t>(encoded.entries_size() / numbersPerEntry));
    for (int first = 0; first < encoded.entries_size(); first += numbersPerEntry) {
        auto const number = [&](int index) { return encoded.entries(first + index); };
        auto const name = [&](int index) { return encoded.names(static_cast<int>(number(index))); };
        auto const nameCount = static_cast<uint64_t>(encoded.names_size());
        if (number(0) >= static_cast<uint64_t>(encoded.origins_size()) || number(1) >= nameCount
            || number(2) >= nameCount || number(3) >= nameCount || number(4) >= nameCount
            || number(5) >= static_cast<uint64_t>(encoded.slots_size())
            || number(6) > std::numeric_limits<uint32_t>::max())
            return {};
        auto const origin = static_cast<int>(number(0));
        Moves::EvidenceEntry entry;
        entry.origin = encoded.origins(origin);
        entry.originIncarnation = encoded.origin_incarnations(origin);
        entry.key = { name(1), name(2), name(3), name(4), static_cast<uint32_t>(number(6)) };
        entry.slot = encoded.slots(static_cast<int>(number(5)));
        for (size_t index = 0; index < counterFields.size(); ++index)
            entry.counters.*counterFields[index] = number(7 + static_cast<int>(index));
        delta.entries.push_back(std::move(entry));
    }
    return delta;
}

}
