#include <LibStore/HttpCaller.h>
#include <LibStore/HttpStore.h>
#include <LibStore/PlatformJson.h>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace http = boost::beast::http;

namespace Comfreysail::Store {

namespace {

using Answer = HttpCaller::Answer;

std::string encode(std::string_view text)
{
    return boost::urls::encode({ text.data(), text.size() }, boost::urls::unreserved_chars);
}

std::string tablePath(std::string const& table) { return "/v1/tables/" + encode(table); }

std::string objectPath(std::string const& name) { return "/v1/objects/" + encode(name); }

Core::Error refused(Answer const& answer)
{
    return { Core::ErrorKind::Internal,
        "the platform refused the call with " + std::to_string(answer.status) + ": " + answer.body.substr(0, 200) };
}

/// A write whose answer cannot be read may have taken effect.
template<typename T> Core::Result<T> asWriteResult(Core::Result<T> result)
{
    if (auto* error = std::get_if<Core::Error>(&result))
        error->kind = Core::ErrorKind::StoreOutcomeUnknown;
    return result;
}

/// Passes on an error, or what `interpret` makes of the answer.
template<typename T, typename Interpret> auto handler(Callback<T> callback, Interpret interpret)
{
    return [callback = std::move(callback), interpret = std::move(interpret)](Core::Result<Answer> result) {
        if (Core::isError(result))
            return callback(Core::errorOf(result));
        callback(interpret(std::get<Answer>(result)));
    };
}

}

StorePort makeHttpStore(boost::asio::any_io_executor executor, HttpStoreOptions options)
{
    auto const client = std::make_shared<HttpCaller>(std::move(executor), std::move(options));
    StorePort port;
    port.read = [client](std::string const& table, std::string const& key, Core::Instant deadline, auto callback) {
        client->send({ http::verb::get, tablePath(table) + '/' + encode(key), {}, false, deadline },
            handler<std::optional<Row>>(
                std::move(callback), [key](Answer const& answer) -> Core::Result<std::optional<Row>> {
                    if (answer.status == 404)
                        return std::optional<Row>();
                    if (answer.status != 200)
                        return refused(answer);
                    auto row = parseRow(key, answer.body);
                    if (Core::isError(row))
                        return Core::errorOf(row);
                    return std::optional(Core::takeValue(std::move(row)));
                }));
    };
    port.scan = [client](std::string const& table, std::string const& prefix, Core::Instant deadline, auto callback) {
        client->send({ http::verb::get, tablePath(table) + "?prefix=" + encode(prefix), {}, false, deadline },
            handler<std::vector<Row>>(std::move(callback), [](Answer const& answer) -> Core::Result<std::vector<Row>> {
                return answer.status == 200 ? parseRows(answer.body) : refused(answer);
            }));
    };
    port.transact = [client](std::vector<Operation> const& operations, Core::Instant deadline, auto callback) {
        client->send({ http::verb::post, "/v1/transactions", serializeOperations(operations), true, deadline },
            handler<TransactionResult>(std::move(callback),
                [count = operations.size()](Answer const& answer) -> Core::Result<TransactionResult> {
                    if (answer.status == 200)
                        return asWriteResult(parseCommitted(answer.body, count));
                    if (answer.status == 409)
                        return parseConflicts(answer.body, count);
                    return refused(answer);
                }));
    };
    port.putObject = [client](std::string const& name, std::string content, Core::Instant deadline, auto callback) {
        client->send({ http::verb::put, objectPath(name), std::move(content), true, deadline },
            handler<Core::Empty>(std::move(callback), [](Answer const& answer) -> Core::Result<Core::Empty> {
                if (answer.status != 200)
                    return refused(answer);
                return Core::Empty {};
            }));
    };
    port.readObject = [client](std::string const& name, Core::Instant deadline, auto callback) {
        client->send({ http::verb::get, objectPath(name), {}, false, deadline },
            handler<std::string>(std::move(callback), [name](Answer const& answer) -> Core::Result<std::string> {
                if (answer.status == 404)
                    return Core::Error { Core::ErrorKind::RowNotFound, "object " + name + " does not exist" };
                if (answer.status != 200)
                    return refused(answer);
                return answer.body;
            }));
    };
    port.listVms = [client](Core::Instant deadline, auto callback) {
        client->send({ http::verb::get, "/v1/vms", {}, false, deadline },
            handler<std::vector<Vm>>(std::move(callback), [](Answer const& answer) -> Core::Result<std::vector<Vm>> {
                return answer.status == 200 ? parseVms(answer.body) : refused(answer);
            }));
    };
    return port;
}

}
