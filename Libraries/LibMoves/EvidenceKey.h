#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace Comfreysail::Moves {

/// Identifies a counter. Targets are stored as hashes, since they only have to be distinguished and names would use up
/// the message budget. The hash is 0 for versions that no move goes to.
struct EvidenceKey {
    std::string service;
    std::string version;
    std::string route;
    std::string availabilityZone;
    uint32_t target { 0 };

    // Not a defaulted three-way comparison, because clang-tidy 14 takes its literal 0 for a null pointer.
    auto asTuple() const { return std::tie(service, version, route, availabilityZone, target); }
    bool operator==(EvidenceKey const& other) const { return asTuple() == other.asTuple(); }
    bool operator<(EvidenceKey const& other) const { return asTuple() < other.asTuple(); }
};

uint32_t targetHash(std::string const& target);

}
