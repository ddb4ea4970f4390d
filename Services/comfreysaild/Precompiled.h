#pragma once

// Precompiled, because Asio and the library headers take several seconds to compile for each source file.

#include <LibAdmission/Admission.h>
#include <LibClaims/Claims.h>
#include <LibCore/Core.h>
#include <LibHTTP/HTTP.h>
#include <LibRetry/Retry.h>
#include <LibRouting/Routing.h>
#include <LibSettings/Settings.h>
#include <LibStore/Store.h>
#include <LibTelemetry/Telemetry.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
