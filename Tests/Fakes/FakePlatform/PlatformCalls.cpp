#include "PlatformCalls.h"
#include <boost/json.hpp>
#include <boost/url/decode_view.hpp>
#include <charconv>
#include <chrono>

namespace json = boost::json;

namespace Comfreysail::Fakes {

namespace {

using Answer = PlatformCalls::Answer;
using Platform::StoreRow;

constexpr size_t maxEntries = 100;
constexpr size_t maxNameBytes = 200;

Answer badRequest(std::string const& reason) { return { 400, json::serialize(json::object { { "error", reason } }) }; }

double steadySeconds()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

Answer ok(json::object const& object) { return { 200, json::serialize(object) }; }

std::string decode(std::string_view text)
{
    auto const view = boost::urls::make_pct_string_view({ text.data(), text.size() });
    if (!view)
        return std::string(text);
    std::string result;
    for (auto const character : boost::urls::decode_view(*view))
        result += character;
    return result;
}

/// Returns the decoded value of a query parameter, or std::nullopt if the query does not have it.
std::optional<std::string> parameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        auto const item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(item.size() + 1, query.size()));
        auto const equals = item.find('=');
        if (item.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : decode(item.substr(equals + 1));
    }
    return std::nullopt;
}

std::optional<uint64_t> numberOf(std::optional<std::string> const& text)
{
    uint64_t number = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc())
        return std::nullopt;
    return number;
}

json::object rowJson(StoreRow const& row)
{
    return { { "table", row.table }, { "part", row.part }, { "key", row.key },
        { "value", Platform::encodeBase64(row.value) }, { "resource-version", row.revision } };
}

/// Parses one of the lists of a transaction. Returns false if it is malformed.
bool readEntries(json::object const& body, std::string_view name, bool hasValue, std::vector<StoreRow>& rows)
{
    auto const* const list = body.if_contains(name);
    if (!list)
        return true;
    if (!list->is_array())
        return false;
    for (auto const& entry : list->get_array()) {
        if (!entry.is_object())
            return false;
        auto const& object = entry.get_object();
        auto const text = [&](std::string_view field) -> std::optional<std::string> {
            auto const* const value = object.if_contains(field);
            return value && value->is_string() ? std::optional<std::string>(value->get_string().c_str()) : std::nullopt;
        };
        auto const table = text("table");
        auto const key = text("key");
        if (!table || table->empty() || !key || key->empty() || key->size() > maxNameBytes)
            return false;
        StoreRow row { text("part").value_or(""), *key, {}, 0, *table };
        if (auto const* const revision = object.if_contains("resource-version"))
            row.revision = revision->to_number<uint64_t>();
        if (hasValue) {
            auto const value = text("value");
            auto bytes = value ? Platform::decodeBase64(*value) : Core::Result<std::string>(Core::Error {});
            if (isError(bytes))
                return false;
            row.value = takeValue(std::move(bytes));
        }
        rows.push_back(std::move(row));
    }
    return true;
}

bool isReadOnlyTable(std::string const& table)
{
    return table == Platform::Table::operators || table == Platform::Table::targets;
}

}

bool PlatformCalls::isWrite(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "DELETE";
}

std::chrono::milliseconds PlatformCalls::feedWaitTime(std::string_view target)
{
    auto const question = target.find('?');
    if (question == std::string_view::npos || target.substr(0, question) != "/rows-feed")
        return {};
    return std::chrono::milliseconds(numberOf(parameter(target.substr(question + 1), "wait-ms")).value_or(0));
}

bool PlatformCalls::restoreCopy()
{
    if (!m_copy)
        return false;
    m_tables = *m_copy;
    ++m_era;
    return true;
}

bool PlatformCalls::exceedsRateLimit(bool isWrite, Clock::time_point now)
{
    if (now - m_rateWindowStart >= std::chrono::seconds(1)) {
        m_rateWindowStart = now;
        m_writesInSecond = m_readsInSecond = 0;
    }
    auto& calls = isWrite ? m_writesInSecond : m_readsInSecond;
    auto const limit = isWrite ? m_rates.writesPerSecond : m_rates.readsPerSecond;
    ++calls;
    return limit > 0 && calls > limit;
}

std::optional<Answer> PlatformCalls::run(std::string_view method, std::string_view target, std::string const& body,
    CallerRole role, Clock::time_point now, bool mustAnswer)
{
    auto const question = target.find('?');
    auto const path = target.substr(0, question);
    auto const query = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    if (role == CallerRole::System && exceedsRateLimit(isWrite(method), now))
        return Answer { 429, "{}" };
    std::optional<Answer> answer = Answer { 404, R"({"error":"not found"})" };
    if (path == "/rows-get" && method == "GET")
        answer = readRows(query);
    else if (path == "/rows-feed" && method == "GET")
        answer = readFeed(query, mustAnswer);
    else if (path == "/rows-tx" && method == "POST")
        answer = transact(body, role);
    else if (path.starts_with("/blob-"))
        answer = runObjectCall(method, path, body);
    if (!answer)
        return answer;
    ++(isWrite(method) ? m_writes : m_reads);
    m_bytesReceived += body.size();
    m_bytesSent += answer->body.size();
    return answer;
}

Answer PlatformCalls::readRows(std::string_view query) const
{
    Platform::RowRange range;
    range.table = parameter(query, "table").value_or("");
    range.part = parameter(query, "part").value_or("");
    range.from = parameter(query, "from").value_or("");
    range.to = parameter(query, "to").value_or("");
    range.limit = static_cast<unsigned>(numberOf(parameter(query, "limit")).value_or(0));
    if (range.table.empty())
        return badRequest("table is required");
    bool hasMore = false;
    json::array rows;
    for (auto const& row : m_tables.rows(range, hasMore))
        rows.emplace_back(rowJson(row));
    return ok({ { "rows", std::move(rows) }, { "has-more", hasMore }, { "resource-version", m_tables.revision() },
        { "now-s", steadySeconds() } });
}

std::optional<Answer> PlatformCalls::readFeed(std::string_view query, bool mustAnswer) const
{
    auto const table = parameter(query, "table");
    auto const after = numberOf(parameter(query, "after"));
    if (!table || !after)
        return badRequest("table and after are required");
    // A revision above the newest one comes from before the store went back to a copy.
    bool const isOfLostRevision = m_era > firstEra && *after > m_tables.revision();
    if (isOfLostRevision)
        return Answer { 410, "{}" };
    auto const changes = m_tables.changesAfter(*table, *after);
    if (!changes)
        return Answer { 410, "{}" };
    if (changes->empty() && !mustAnswer)
        return std::nullopt;
    json::array rows;
    for (auto const& change : *changes) {
        auto row = rowJson(change.row);
        if (change.isTombstone)
            row["tombstone"] = true;
        rows.emplace_back(std::move(row));
    }
    return ok(
        { { "rows", std::move(rows) }, { "resource-version", m_tables.revision() }, { "now-s", steadySeconds() } });
}

Answer PlatformCalls::transact(std::string const& body, CallerRole role)
{
    json::error_code code;
    auto const value = json::parse(body, code);
    if (code || !value.is_object())
        return badRequest("the body is not an object");
    Platform::RowTransaction transaction;
    auto const& object = value.get_object();
    bool const isRead = readEntries(object, "precondition", false, transaction.conditions)
        && readEntries(object, "puts", true, transaction.puts)
        && readEntries(object, "deletes", false, transaction.deletes);
    auto const entries = transaction.conditions.size() + transaction.puts.size() + transaction.deletes.size();
    if (!isRead || entries == 0 || entries > maxEntries)
        return badRequest("the entries are malformed");
    for (auto const* list : { &transaction.puts, &transaction.deletes }) {
        for (auto const& row : *list) {
            if (role == CallerRole::System && isReadOnlyTable(row.table))
                return { 403, R"({"error":"the table is not the system's"})" };
        }
    }
    std::vector<StoreRow> conflicts;
    auto const revision = m_tables.transact(transaction, conflicts);
    if (revision)
        return ok({ { "resource-version", *revision }, { "now-s", steadySeconds() } });
    ++m_conflicts;
    json::array rows;
    for (auto const& row : conflicts)
        rows.emplace_back(rowJson(row));
    return { 412,
        json::serialize(json::object { { "rows", std::move(rows) }, { "resource-version", m_tables.revision() } }) };
}

std::optional<Answer> PlatformCalls::runObjectCall(
    std::string_view method, std::string_view path, std::string const& body)
{
    auto const slash = path.find('/', 1);
    auto const call = path.substr(0, slash);
    auto const name = slash == std::string_view::npos ? std::string() : decode(path.substr(slash + 1));
    if (call == "/blob-put" && method == "PUT") {
        m_tables.objects[name] = body;
        return ok({});
    }
    auto const found = m_tables.objects.find(name);
    if (found == m_tables.objects.end())
        return Answer { 404, "{}" };
    if (call == "/blob-get" && method == "GET")
        return Answer { 200, found->second, "application/octet-stream" };
    if (call == "/blob-drop" && method == "DELETE") {
        m_tables.objects.erase(found);
        return ok({});
    }
    return badRequest("no such call");
}

std::string PlatformCalls::stats(std::string_view mode) const
{
    return json::serialize(json::object { { "mode", mode }, { "reads", m_reads }, { "writes", m_writes },
        { "conflicts", m_conflicts }, { "bytes_received", m_bytesReceived }, { "bytes_sent", m_bytesSent } });
}

}
