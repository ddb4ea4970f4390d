#include <LibUsage/UsagePush.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace Comfreysail::Usage {

namespace {

using Core::Error;
using Core::ErrorKind;
using Core::Result;

// About 300 years. A greater number of milliseconds would overflow when it is converted to microseconds.
constexpr int64_t maxMilliseconds = 10'000'000'000'000;
constexpr size_t maxNameBytes = 256;

Error malformed(char const* detail) { return { ErrorKind::MalformedMessage, detail }; }

std::optional<boost::json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    auto value = boost::json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

std::string textField(boost::json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::optional<int64_t> integerField(boost::json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    boost::system::error_code error;
    auto const number = value ? value->to_number<int64_t>(error) : 0;
    return value && !error ? std::optional(number) : std::nullopt;
}

std::optional<Core::Duration> millisecondsField(boost::json::object const& object, std::string_view name)
{
    auto const number = integerField(object, name);
    if (!number || *number > maxMilliseconds || *number < -maxMilliseconds)
        return std::nullopt;
    return std::chrono::milliseconds(*number);
}

std::optional<SendCount> countOf(boost::json::value const& value)
{
    auto const* const numbers = value.if_array();
    if (!numbers || numbers->size() != 2)
        return std::nullopt;
    boost::system::error_code sentError;
    boost::system::error_code notRunError;
    SendCount const count { (*numbers)[0].to_number<uint64_t>(sentError),
        (*numbers)[1].to_number<uint64_t>(notRunError) };
    return sentError || notRunError ? std::nullopt : std::optional(count);
}

std::optional<WindowCounts> windowCountsOf(boost::json::value const& value)
{
    auto const* const departments = value.if_object();
    if (!departments)
        return std::nullopt;
    WindowCounts counts;
    for (auto const& entry : *departments) {
        auto const count = countOf(entry.value());
        if (!count || entry.key().size() > maxNameBytes)
            return std::nullopt;
        counts[std::string(entry.key())] = *count;
    }
    return counts;
}

}

std::string encodePush(UsagePush const& push)
{
    boost::json::object windows;
    for (auto const& [window, departments] : push.counts) {
        boost::json::object counts;
        for (auto const& [department, count] : departments)
            counts[department] = { count.sent, count.notRun };
        windows[std::to_string(window)] = std::move(counts);
    }
    boost::json::object object { { "name", push.name }, { "incarnation", push.incarnation },
        { "counts", std::move(windows) } };
    if (push.wallOffset)
        object["offset_ms"] = Core::toMilliseconds(*push.wallOffset);
    return boost::json::serialize(object);
}

Result<UsagePush> decodePush(std::string_view text)
{
    auto const object = parseObject(text);
    if (!object)
        return malformed("the push is not a JSON object");
    UsagePush push { textField(*object, "name"), textField(*object, "incarnation"),
        millisecondsField(*object, "offset_ms"), {} };
    bool const hasNames = !push.name.empty() && push.name.size() <= maxNameBytes && !push.incarnation.empty()
        && push.incarnation.size() <= maxNameBytes;
    auto const* const windows = object->if_contains("counts");
    if (!hasNames || !windows || !windows->is_object())
        return malformed("the push lacks name, incarnation or counts");
    for (auto const& entry : windows->get_object()) {
        std::string_view const key = entry.key();
        WindowId window = 0;
        auto const parsed = std::from_chars(key.data(), key.data() + key.size(), window);
        auto counts = windowCountsOf(entry.value());
        if (parsed.ec != std::errc() || parsed.ptr != key.data() + key.size() || !counts)
            return malformed("the counts of a window are invalid");
        push.counts[window] = std::move(*counts);
    }
    return push;
}

std::string encodeReply(UsageReply const& reply)
{
    boost::json::object object { { "incarnation", reply.incarnation }, { "heard", reply.heard } };
    if (reply.closed)
        object["closed"] = *reply.closed;
    if (reply.isCutOffFromStore)
        object["cut_off"] = true;
    if (reply.agreedOffset)
        object["offset_ms"] = Core::toMilliseconds(*reply.agreedOffset);
    return boost::json::serialize(object);
}

Result<UsageReply> decodeReply(std::string_view text)
{
    auto const object = parseObject(text);
    if (!object)
        return malformed("the reply is not a JSON object");
    UsageReply reply { textField(*object, "incarnation"), integerField(*object, "closed"),
        millisecondsField(*object, "offset_ms"), false };
    auto const* const cutOff = object->if_contains("cut_off");
    reply.isCutOffFromStore = cutOff && cutOff->is_bool() && cutOff->get_bool();
    reply.heard = static_cast<size_t>(std::max<int64_t>(integerField(*object, "heard").value_or(0), 0));
    if (reply.incarnation.empty())
        return malformed("the reply lacks the incarnation");
    return reply;
}

}
