#pragma once

/// Public header of LibHTTP: server sessions, client connections with a pool, and messages, over Asio coroutines.

#include <LibHTTP/ClientConnection.h>
#include <LibHTTP/ConnectionPool.h>
#include <LibHTTP/ErrorResponse.h>
#include <LibHTTP/Fields.h>
#include <LibHTTP/HeadCheck.h>
#include <LibHTTP/KeepAlive.h>
#include <LibHTTP/Message.h>
#include <LibHTTP/MessageReader.h>
#include <LibHTTP/ProcessBudget.h>
#include <LibHTTP/ResponseDelivery.h>
#include <LibHTTP/Server.h>
#include <LibHTTP/ServerExchange.h>
#include <LibHTTP/ServerOptions.h>
#include <LibHTTP/SteppedWait.h>
#include <LibHTTP/Stream.h>
#include <LibHTTP/TransferRate.h>
#include <LibHTTP/WaitingConnections.h>
#include <LibHTTP/Watchdog.h>
