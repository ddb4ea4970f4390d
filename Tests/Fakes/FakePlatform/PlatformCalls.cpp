#include "PlatformCalls.h"
#include <boost/json.hpp>
#include <boost/url/decode_view.hpp>

namespace json = boost::json;

namespace Comfreysail::Fakes {

namespace {

using Answer = PlatformCalls::Answer;

Answer badRequest(std::string const& reason) { return { 400, json::serialize(json::object { { "error", reason } }) }; }

Answer notFound() { return { 404, R"({"error":"not found"})" }; }

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

/// The text after the prefix, or nothing.
std::optional<std::string_view> after(std::string_view text, std::string_view prefix)
{
    if (!text.starts_with(prefix))
        return {};
    return text.substr(prefix.size());
}

std::string textOf(json::object const& object, char const* field)
{
    auto const* value = object.if_contains(field);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

json::value parseBody(std::string const& body)
{
    json::error_code code;
    auto value = json::parse(body, code);
    return code ? json::value() : value;
}

json::array const* arrayOf(json::value const& value, char const* field)
{
    if (!value.is_object())
        return nullptr;
    auto const* array = value.get_object().if_contains(field);
    return array ? array->if_array() : nullptr;
}

std::optional<Store::Operation> parseOperation(json::value const& value)
{
    if (!value.is_object())
        return {};
    auto const& object = value.get_object();
    auto const kind = textOf(object, "op");
    Store::Operation operation { Store::Operation::Kind::Put, textOf(object, "table"), textOf(object, "key"),
        Store::anyVersion, textOf(object, "value") };
    if (kind == "delete")
        operation.kind = Store::Operation::Kind::Delete;
    else if (kind == "check")
        operation.kind = Store::Operation::Kind::Check;
    else if (kind != "put" || !object.contains("value"))
        return {};
    auto const* expected = object.if_contains("expected_version");
    if (!expected || !expected->is_int64() || expected->get_int64() < Store::anyVersion || operation.table.empty()
        || operation.key.empty())
        return {};
    operation.expectedVersion = expected->get_int64();
    return operation;
}

}

bool PlatformCalls::isWrite(std::string_view method) { return method == "POST" || method == "PUT"; }

Answer PlatformCalls::run(std::string_view method, std::string_view target, std::string const& body)
{
    ++(isWrite(method) ? m_writes : m_reads);
    m_bytesReceived += body.size();
    auto const question = target.find('?');
    auto const path = target.substr(0, question);
    auto const query = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    auto answer = notFound();
    if (auto rest = after(path, "/v1/tables/"); rest && method == "GET")
        answer = readTable(*rest, query);
    else if (path == "/v1/transactions" && method == "POST")
        answer = transact(body);
    else if (auto name = after(path, "/v1/objects/"); name && !name->empty())
        answer = objects(method, decode(*name), body);
    else if (path == "/v1/vms")
        answer = vms(method, body);
    m_bytesSent += answer.body.size();
    return answer;
}

Answer PlatformCalls::readTable(std::string_view path, std::string_view query) const
{
    auto const slash = path.find('/');
    auto const table = decode(path.substr(0, slash));
    if (slash != std::string_view::npos) {
        auto const row = m_store.row(table, decode(path.substr(slash + 1)));
        return row ? ok({ { "version", row->version }, { "value", row->value } }) : notFound();
    }
    auto const prefix = after(query, "prefix=");
    if (!prefix)
        return badRequest("prefix is required");
    json::array rows;
    for (auto const& row : m_store.rows(table, decode(*prefix)))
        rows.emplace_back(json::object { { "key", row.key }, { "version", row.version }, { "value", row.value } });
    return ok({ { "rows", std::move(rows) } });
}

Answer PlatformCalls::transact(std::string const& body)
{
    auto const value = parseBody(body);
    auto const* array = arrayOf(value, "operations");
    if (!array || array->empty())
        return badRequest("operations are required");
    std::vector<Store::Operation> operations;
    for (auto const& element : *array) {
        auto operation = parseOperation(element);
        if (!operation)
            return badRequest("operation " + std::to_string(operations.size()) + " is malformed");
        operations.push_back(std::move(*operation));
    }
    auto const result = m_store.transact(operations);
    if (result.isCommitted())
        return ok({ { "versions", json::value_from(result.versions) } });
    ++m_conflicts;
    json::array conflicts;
    for (auto const& conflict : result.conflicts) {
        conflicts.emplace_back(
            json::object { { "index", conflict.index }, { "version", conflict.version }, { "value", conflict.value } });
    }
    return { 409, json::serialize(json::object { { "conflicts", std::move(conflicts) } }) };
}

Answer PlatformCalls::objects(std::string_view method, std::string const& name, std::string const& body)
{
    if (method == "PUT") {
        m_store.putObject(name, body);
        return ok({});
    }
    auto content = m_store.object(name);
    return content ? Answer { 200, std::move(*content) } : notFound();
}

Answer PlatformCalls::vms(std::string_view method, std::string const& body)
{
    if (method == "PUT") {
        auto const value = parseBody(body);
        auto const* array = arrayOf(value, "vms");
        if (!array)
            return badRequest("vms are required");
        std::vector<Store::Vm> list;
        for (auto const& element : *array) {
            if (!element.is_object())
                return badRequest("a VM must be an object");
            auto const& object = element.get_object();
            auto const state = textOf(object, "state");
            if (state != "live" && state != "leaving")
                return badRequest("state must be live or leaving");
            list.push_back({ textOf(object, "name"), textOf(object, "address"), textOf(object, "availability_zone"),
                state == "live" ? Store::Vm::State::Live : Store::Vm::State::Leaving });
        }
        m_store.setVms(std::move(list));
        return ok({});
    }
    json::array array;
    for (auto const& vm : m_store.vms()) {
        array.emplace_back(
            json::object { { "name", vm.name }, { "address", vm.address }, { "availability_zone", vm.availabilityZone },
                { "state", vm.state == Store::Vm::State::Live ? "live" : "leaving" } });
    }
    return ok({ { "vms", std::move(array) } });
}

std::string PlatformCalls::stats(std::string_view mode) const
{
    return json::serialize(json::object { { "mode", mode }, { "reads", m_reads }, { "writes", m_writes },
        { "conflicts", m_conflicts }, { "bytes_received", m_bytesReceived }, { "bytes_sent", m_bytesSent } });
}

}
