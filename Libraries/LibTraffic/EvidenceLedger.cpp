#include <LibTraffic/EvidenceLedger.h>

#include <array>
#include <charconv>
#include <optional>

namespace Comfreysail::Traffic {

namespace {

constexpr char moveSeparator = '_';
constexpr char entrySeparator = '~';
constexpr char numberSeparator = '.';
constexpr int hexadecimal = 16;
constexpr size_t numbersPerEntry = 6;
// Far more than the daemons of one system. Limits the memory that a faulty message can take.
constexpr size_t maxOriginsPerMove = 8192;

/// Removes the part up to the separator from the text and returns it.
std::string_view takePart(std::string_view& text, char separator)
{
    auto const end = text.find(separator);
    auto const part = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return part;
}

template<typename Number> std::optional<Number> parse(std::string_view text, int base)
{
    Number number = 0;
    auto const* const end = text.data() + text.size();
    auto const [position, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc() || position != end)
        return std::nullopt;
    return number;
}

void append(std::string& text, uint64_t number, int base)
{
    std::array<char, 20> digits {};
    auto const result = std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
    text.append(digits.data(), result.ptr);
}

}

void EvidenceLedger::setMoves(std::set<Move> const& moves)
{
    std::erase_if(m_moves, [&](auto const& item) { return !moves.contains(item.first); });
    for (auto const move : moves)
        m_moves.try_emplace(move);
}

void EvidenceLedger::note(Move move, Origin origin, MoveEvidence const& evidence)
{
    auto const found = m_moves.find(move);
    if (found == m_moves.end() || (found->second.size() >= maxOriginsPerMove && !found->second.contains(origin)))
        return;
    auto& entry = found->second[origin];
    auto const requestsOf
        = [](MoveEvidence const& counts) { return counts.newVersion.requests + counts.oldVersion.requests; };
    if (requestsOf(evidence) > requestsOf(entry.evidence))
        entry = { evidence, ++m_version };
}

void EvidenceLedger::merge(std::string_view text)
{
    while (!text.empty()) {
        auto block = takePart(text, moveSeparator);
        auto const move = parse<Move>(takePart(block, entrySeparator), 10);
        while (move && !block.empty()) {
            auto fields = takePart(block, entrySeparator);
            auto const origin = parse<Origin>(takePart(fields, numberSeparator), hexadecimal);
            std::array<uint64_t, numbersPerEntry> numbers {};
            bool isValid = origin.has_value();
            for (auto& number : numbers) {
                auto const parsed = parse<uint32_t>(takePart(fields, numberSeparator), 10);
                isValid = isValid && parsed;
                number = parsed.value_or(0);
            }
            if (isValid && fields.empty())
                note(
                    *move, *origin, { { numbers[0], numbers[1], numbers[2] }, { numbers[3], numbers[4], numbers[5] } });
        }
    }
}

std::string EvidenceLedger::textOf(Move move, Entries const& entries, uint64_t sinceVersion)
{
    std::string text;
    for (auto const& [origin, entry] : entries) {
        if (entry.changedAt <= sinceVersion)
            continue;
        text += entrySeparator;
        append(text, origin, hexadecimal);
        for (auto const* version : { &entry.evidence.newVersion, &entry.evidence.oldVersion }) {
            for (auto const number : { version->requests, version->failures, version->slow }) {
                text += numberSeparator;
                append(text, number, 10);
            }
        }
    }
    return text.empty() ? text : std::to_string(move) + text;
}

std::string EvidenceLedger::textSince(uint64_t version) const
{
    std::string text;
    for (auto const& [move, entries] : m_moves) {
        auto const block = textOf(move, entries, version);
        if (!text.empty() && !block.empty())
            text += moveSeparator;
        text += block;
    }
    return text;
}

std::string EvidenceLedger::textOf(Move move) const
{
    auto const found = m_moves.find(move);
    return found == m_moves.end() ? std::string() : textOf(move, found->second, 0);
}

MoveEvidence EvidenceLedger::total(Move move) const
{
    MoveEvidence sum;
    auto const found = m_moves.find(move);
    if (found == m_moves.end())
        return sum;
    for (auto const& [origin, entry] : found->second) {
        sum.newVersion = sum.newVersion + entry.evidence.newVersion;
        sum.oldVersion = sum.oldVersion + entry.evidence.oldVersion;
    }
    return sum;
}

}
