#pragma once

#include <string_view>

namespace Comfreysail::Settings {

/// Allowed values of a text key.
struct TextRule {
    bool (*accepts)(std::string_view);
    std::string_view allowed; ///< Completes "must be ...".
};

extern TextRule const nameRule;       ///< Core::isValidName.
extern TextRule const ipAddressRule;  ///< IPv4 or IPv6, without port.
extern TextRule const hostRule;       ///< Host header without port, lower case.
extern TextRule const pathPrefixRule; ///< Starts with '/'.
extern TextRule const methodRule;     ///< HTTP method or "*".
extern TextRule const hostPortRule;   ///< "IP:port" or "[IPv6]:port".

}
