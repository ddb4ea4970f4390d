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

/// Completion token for coroutines that returns the error code as part of the result instead of throwing.
///
/// GCC 12 destroys the awaited object twice if co_await is used in a condition or a co_return statement (seen as a
/// crash in ServerExchange::respond()). Therefore every co_await is a separate statement or initializes a variable.
inline constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

}
