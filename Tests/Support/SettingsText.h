#pragma once

#include <string>

namespace Comfreysail::Tests {

/// Returns a valid settings text with one service (orders, with versions v1 and v2), two availability zones and three
/// departments. `timeout` is the default timeout in milliseconds; tests set it to get settings that differ.
inline std::string settingsText(int timeout = 5000)
{
    return "[defaults]\ntimeout_ms = " + std::to_string(timeout) + R"(
[availability_zones.pos-hall]
state = "in"
region = "tt-judicial"
[availability_zones.arima]
state = "out"
region = "tt-judicial"
[services.orders]
hosts = ["orders.example"]
version = "v1"
weight = 2
[services.orders.routes.place]
method = "POST"
path_prefix = "/orders"
class = "order"
idempotent = false
[services.orders.routes.all]
path_prefix = "/"
class = "lookup"
idempotent = true
[[services.orders.versions.v1.targets]]
name = "t1"
address = "127.0.0.1"
port = 9001
availability_zone = "pos-hall"
[[services.orders.versions.v2.targets]]
name = "t2"
address = "127.0.0.1"
port = 9002
availability_zone = "arima"
slots = 4
[departments.court]
weight = 5
[departments.appeals]
parent = "court"
timeout_ms = 700
[departments.appeals.services.orders]
version = "v2"
[departments.registry]
parent = "appeals"
)";
}

}
