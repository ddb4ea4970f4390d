#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibStore/HttpStoreOptions.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Comfreysail::Store {

struct StoreConnection;

/// Sends HTTP requests to the platform over kept-alive connections. Not part of the public header.
class HttpStoreClient : public std::enable_shared_from_this<HttpStoreClient> {
public:
    struct Request {
        boost::beast::http::verb method;
        std::string target;
        std::string body;
        bool isWrite { false };
        Core::Instant deadline;
    };

    struct Answer {
        unsigned status { 0 };
        std::string body;
    };

    HttpStoreClient(boost::asio::any_io_executor, HttpStoreOptions);
    ~HttpStoreClient();

    /// Errors: StoreUnavailable, and StoreOutcomeUnknown for a write of which a byte may have reached the platform. A
    /// status of 500 or above counts as such an error too.
    void send(Request, std::function<void(Core::Result<Answer>)>);

private:
    using ConnectionPointer = std::unique_ptr<StoreConnection>;

    boost::asio::awaitable<Core::Result<Answer>> exchange(ConnectionPointer, Request const&);
    boost::asio::awaitable<Core::Result<Answer>> exchangeOn(StoreConnection&, Request const&, bool& mayHaveArrived);
    ConnectionPointer takeIdle();
    void giveBack(ConnectionPointer);

    boost::asio::any_io_executor m_executor;
    HttpStoreOptions m_options;
    std::mutex m_mutex; ///< Guards m_idle; not held across a socket operation.
    std::vector<ConnectionPointer> m_idle;
};

}
