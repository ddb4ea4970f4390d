#include <LibSettings/Adoption.h>

namespace Comfreysail::Settings {

Adoption adoptionOf(SettingsRevision const& inForce, SettingsRevision const& offered)
{
    if (offered.revision > inForce.revision)
        return Adoption::Adopt;
    if (offered.revision < inForce.revision)
        return Adoption::Older;
    return offered == inForce ? Adoption::AlreadyInForce : Adoption::Contradiction;
}

}
