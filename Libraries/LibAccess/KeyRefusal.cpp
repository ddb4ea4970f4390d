#include <LibAccess/KeyRefusal.h>

namespace Comfreysail::Access {

Core::ErrorKind errorKindOf(KeyRefusal refusal)
{
    switch (refusal) {
    case KeyRefusal::NoKey:
        return Core::ErrorKind::ApiKeyMissing;
    case KeyRefusal::Malformed:
        return Core::ErrorKind::ApiKeyMalformed;
    case KeyRefusal::Repeated:
        return Core::ErrorKind::ApiKeyRepeated;
    case KeyRefusal::TooLong:
        return Core::ErrorKind::ApiKeyTooLong;
    case KeyRefusal::Unknown:
        break;
    }
    return Core::ErrorKind::ApiKeyUnknown;
}

}
