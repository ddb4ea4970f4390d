#pragma once

/// Public header of LibPeers: message transport between daemons over ZeroMQ.

#include <LibPeers/ByteBudget.h>
#include <LibPeers/Transport.h>
#include <LibPeers/TransportCounters.h>
#include <LibPeers/TransportOptions.h>
