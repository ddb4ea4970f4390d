#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Comfreysail::HTTP {

namespace asio = boost::asio;
using asio::awaitable;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Completion token for coroutines: the error code is part of the result, nothing is thrown.
///
/// GCC 12 destroys the awaited object twice when co_await stands in a condition or behind co_return (seen as a crash in
/// ServerExchange::respond()). So every co_await is a statement of its own, or initializes a variable.
inline constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

}
