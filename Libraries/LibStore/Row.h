#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Store {

struct Row {
    std::string key;
    uint64_t version { 0 }; ///< At least 1; changes with each write.
    std::string value;

    bool operator==(Row const&) const = default;
};

}
