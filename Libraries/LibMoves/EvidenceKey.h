#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace Comfreysail::Moves {

/// What counts are kept by. Targets are kept as hashes: only their difference matters, and names cost budget. The hash
/// is 0 for versions that no move goes to.
struct EvidenceKey {
    std::string service;
    std::string version;
    std::string route;
    std::string availabilityZone;
    uint32_t target { 0 };

    // Not a defaulted three-way comparison: clang-tidy 14 takes its literal 0 for a null pointer.
    auto tied() const { return std::tie(service, version, route, availabilityZone, target); }
    bool operator==(EvidenceKey const& other) const { return tied() == other.tied(); }
    bool operator<(EvidenceKey const& other) const { return tied() < other.tied(); }
};

uint32_t targetHash(std::string const& target);

}
