#include <LibStore/PlatformJson.h>
#include <array>
#include <boost/json.hpp>

namespace json = boost::json;

namespace Comfreysail::Store {

namespace {

constexpr std::array<std::string_view, 3> operationNames { "put", "delete", "check" };

Core::Error malformed(std::string_view what)
{
    return { Core::ErrorKind::StoreUnavailable, "the platform's answer is malformed: " + std::string(what) };
}

json::value parseBody(std::string_view body)
{
    json::error_code code;
    auto value = json::parse({ body.data(), body.size() }, code);
    return code ? json::value() : value;
}

json::value const* find(json::value const& value, char const* field)
{
    return value.is_object() ? value.get_object().if_contains(field) : nullptr;
}

/// The array in a field of the body's object, or nullptr.
json::array const* findArray(json::value const& body, char const* field)
{
    auto const* value = find(body, field);
    return value ? value->if_array() : nullptr;
}

bool readText(json::value const& object, char const* field, std::string& text)
{
    auto const* value = find(object, field);
    if (!value || !value->is_string())
        return false;
    text = value->get_string();
    return true;
}

bool readNumber(json::value const& value, uint64_t& number)
{
    json::error_code code;
    number = value.to_number<uint64_t>(code);
    return !code;
}

bool readNumber(json::value const& object, char const* field, uint64_t& number)
{
    auto const* value = find(object, field);
    return value && readNumber(*value, number);
}

}

std::string serializeOperations(std::vector<Operation> const& operations)
{
    json::array array;
    for (auto const& operation : operations) {
        json::object object { { "op", operationNames[static_cast<size_t>(operation.kind)] },
            { "table", operation.table }, { "key", operation.key }, { "expected_version", operation.expectedVersion } };
        if (operation.kind == Operation::Kind::Put)
            object["value"] = operation.value;
        array.emplace_back(std::move(object));
    }
    return json::serialize(json::object { { "operations", std::move(array) } });
}

Core::Result<Row> parseRow(std::string key, std::string_view body)
{
    auto const value = parseBody(body);
    Row row { std::move(key), 0, {} };
    if (!readNumber(value, "version", row.version) || !readText(value, "value", row.value))
        return malformed("a row without version or value");
    return row;
}

Core::Result<std::vector<Row>> parseRows(std::string_view body)
{
    auto const value = parseBody(body);
    auto const* array = findArray(value, "rows");
    if (!array)
        return malformed("no array of rows");
    std::vector<Row> rows;
    for (auto const& element : *array) {
        Row row;
        if (!readText(element, "key", row.key) || !readNumber(element, "version", row.version)
            || !readText(element, "value", row.value))
            return malformed("a row without key, version or value");
        rows.push_back(std::move(row));
    }
    return rows;
}

Core::Result<TransactionResult> parseCommitted(std::string_view body, size_t operationCount)
{
    auto const value = parseBody(body);
    auto const* array = findArray(value, "versions");
    if (!array || array->size() != operationCount)
        return malformed("not one version for each operation");
    TransactionResult result;
    for (auto const& element : *array) {
        uint64_t version = 0;
        if (!readNumber(element, version))
            return malformed("a version that is not a number");
        result.versions.push_back(version);
    }
    return result;
}

Core::Result<TransactionResult> parseConflicts(std::string_view body, size_t operationCount)
{
    auto const value = parseBody(body);
    auto const* array = findArray(value, "conflicts");
    if (!array || array->empty())
        return malformed("a refused transaction without conflicts");
    TransactionResult result;
    for (auto const& element : *array) {
        Conflict conflict;
        uint64_t index = 0;
        if (!readNumber(element, "index", index) || index >= operationCount
            || !readNumber(element, "version", conflict.version))
            return malformed("a conflict without index or version");
        // A row that is absent has no value.
        readText(element, "value", conflict.value);
        conflict.index = index;
        result.conflicts.push_back(std::move(conflict));
    }
    return result;
}

Core::Result<std::vector<Vm>> parseVms(std::string_view body)
{
    auto const value = parseBody(body);
    auto const* array = findArray(value, "vms");
    if (!array)
        return malformed("no array of VMs");
    std::vector<Vm> vms;
    for (auto const& element : *array) {
        Vm vm;
        std::string state;
        if (!readText(element, "name", vm.name) || !readText(element, "address", vm.address)
            || !readText(element, "availability_zone", vm.availabilityZone) || !readText(element, "state", state)
            || (state != "live" && state != "leaving"))
            return malformed("a VM without name, address, availability zone or state");
        vm.state = state == "live" ? Vm::State::Live : Vm::State::Leaving;
        vms.push_back(std::move(vm));
    }
    return vms;
}

}
