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
#include <utility>
#include <vector>

namespace Comfreysail::Store {

struct StoreConnection;

/// Sends HTTP requests to one address over persistent connections. The operators' tool also calls daemons with it.
class HttpCaller : public std::enable_shared_from_this<HttpCaller> {
public:
    struct Request {
        boost::beast::http::verb method;
        std::string target;
        std::string body;
        bool isWrite { false };
        Core::Instant deadline; ///< Of the head of the response.
        /// After the deadline, a body that is arriving may take this much longer.
        Core::Duration transferTime {};
        std::vector<std::pair<std::string, std::string>> fields {}; ///< Additional header fields.
        /// If set, checked just before the first byte is sent; nothing is sent if it returns false.
        std::function<bool()> mayStart {};
    };

    struct Answer {
        unsigned status { 0 };
        std::string body;
        std::vector<std::pair<std::string, std::string>>
            fields {}; ///< Of the head, in the order in which they arrived.
    };

    HttpCaller(boost::asio::any_io_executor, HttpStoreOptions);
    ~HttpCaller();

    /// Errors: StoreOutcomeUnknown for a write of which a byte may have arrived, otherwise StoreUnavailable. A status
    /// of 500 or above is also reported as one of these errors.
    void send(Request, std::function<void(Core::Result<Answer>)>);

private:
    using ConnectionPointer = std::unique_ptr<StoreConnection>;

    boost::asio::awaitable<Core::Result<Answer>> exchange(ConnectionPointer, Request const&);
    boost::asio::awaitable<Core::Result<Answer>> exchangeOn(StoreConnection&, Request const&, bool& mayHaveArrived);
    ConnectionPointer takeIdle();
    void returnIdle(ConnectionPointer);

    boost::asio::any_io_executor m_executor;
    HttpStoreOptions m_options;
    std::mutex m_mutex; ///< Guards m_idle; not held across a socket operation.
    std::vector<ConnectionPointer> m_idle;
};

}
