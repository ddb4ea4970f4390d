#include <LibRetry/Fingerprint.h>

namespace Comfreysail::Retry {

uint64_t fingerprintOf(FingerprintParts const& parts)
{
    // Each part is hashed with the hash of the previous parts as the seed, so that "a" + "bc" and "ab" + "c" differ.
    uint64_t fingerprint = Core::hashBytes(parts.service);
    fingerprint = Core::hashBytes(parts.method, fingerprint);
    fingerprint = Core::hashBytes(parts.pathWithQuery, fingerprint);
    return Core::hashBytes(parts.body.substr(0, maxFingerprintedBodyBytes), fingerprint);
}

}
