#include <LibAccess/KeyHash.h>

#include <LibCore/Hash.h>
#include <random>

namespace Comfreysail::Access {

namespace {

uint64_t drawSeed()
{
    std::random_device device;
    return Core::combineHashes(device(), device());
}

}

size_t KeyHash::operator()(std::string_view key) const
{
    static auto const seed = drawSeed();
    return Core::hashBytes(key, seed);
}

}
