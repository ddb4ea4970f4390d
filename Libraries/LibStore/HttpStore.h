#pragma once

#include <LibStore/HttpStoreOptions.h>
#include <LibStore/StorePort.h>
#include <boost/asio/any_io_executor.hpp>

namespace Comfreysail::Store {

/// A port that speaks the platform protocol (docs/design.md, section 4.5) over HTTP/1.1 with kept-alive connections.
/// Callbacks run on the executor; the port and its copies share the connections and may be called from any thread.
StorePort makeHttpStore(boost::asio::any_io_executor, HttpStoreOptions);

}
