#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Store {

struct Row {
    std::string key;
    uint64_t version { 0 }; ///< From 1; another one after each write.
    std::string value;

    bool operator==(Row const&) const = default;
};

}
