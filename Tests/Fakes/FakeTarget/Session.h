#pragma once

#include "TargetState.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Comfreysail::Fakes {

/// Accepts connections until the process ends.
boost::asio::awaitable<void> acceptConnections(TargetState&, boost::asio::ip::tcp::acceptor&);

}
