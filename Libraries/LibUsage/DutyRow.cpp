#include <LibUsage/DutyRow.h>

#include <boost/json.hpp>
#include <optional>

namespace Comfreysail::Usage {

namespace {

using Core::Error;
using Core::ErrorKind;
using Core::Result;

// About 300 years. A greater number of microseconds would overflow in sums.
constexpr int64_t maxMicroseconds = 10'000'000'000'000'000;

Error malformed() { return { ErrorKind::MalformedMessage, "the row of the duty is invalid" }; }

template<typename T> std::optional<T> numberOf(boost::json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    boost::system::error_code error;
    auto const number = value ? value->to_number<T>(error) : T {};
    return value && !error ? std::optional(number) : std::nullopt;
}

std::optional<FixedWindow> fixedWindowOf(boost::json::value const& value)
{
    auto const* const object = value.if_object();
    auto const window = object ? numberOf<int64_t>(*object, "window") : std::nullopt;
    auto const* const counts = object ? object->if_contains("counts") : nullptr;
    if (!window || !counts || !counts->is_object())
        return std::nullopt;
    FixedWindow fixed { *window, {} };
    for (auto const& entry : counts->get_object()) {
        auto const count = numberOf<uint64_t>(counts->get_object(), entry.key());
        if (!count)
            return std::nullopt;
        fixed.counts[std::string(entry.key())] = *count;
    }
    return fixed;
}

}

std::string encodeDutyRow(DutyRow const& row)
{
    boost::json::array windows;
    for (auto const& fixed : row.fixed) {
        boost::json::object counts;
        for (auto const& [department, count] : fixed.counts)
            counts[department] = count;
        windows.push_back({ { "window", fixed.window }, { "counts", std::move(counts) } });
    }
    return boost::json::serialize(
        boost::json::object { { "holder", row.holder }, { "incarnation", row.incarnation }, { "token", row.token },
            { "renewed_us", row.renewedAt.count() }, { "closed", row.closed }, { "fixed", std::move(windows) } });
}

Result<DutyRow> decodeDutyRow(std::string_view text)
{
    boost::system::error_code error;
    auto const value = boost::json::parse(text, error);
    auto const* const object = error ? nullptr : value.if_object();
    if (!object)
        return malformed();
    auto const* const holder = object->if_contains("holder");
    auto const* const incarnation = object->if_contains("incarnation");
    auto const* const windows = object->if_contains("fixed");
    auto const token = numberOf<uint64_t>(*object, "token");
    auto const renewedAt = numberOf<int64_t>(*object, "renewed_us");
    auto const closed = numberOf<int64_t>(*object, "closed");
    bool const isComplete = holder && holder->is_string() && incarnation && incarnation->is_string() && windows
        && windows->is_array() && token && renewedAt && closed;
    if (!isComplete || *renewedAt > maxMicroseconds || *renewedAt < -maxMicroseconds)
        return malformed();
    DutyRow row { std::string(holder->get_string()), std::string(incarnation->get_string()), *token,
        Core::Duration(*renewedAt), *closed, {} };
    for (auto const& entry : windows->get_array()) {
        auto fixed = fixedWindowOf(entry);
        if (!fixed || fixed->window != row.closed + static_cast<WindowId>(row.fixed.size()) + 1)
            return malformed();
        row.fixed.push_back(std::move(*fixed));
    }
    return row;
}

}
