#include <LibCore/Hash.h>
#include <LibMoves/EvidenceKey.h>

namespace Comfreysail::Moves {

uint32_t targetHash(std::string const& target) { return static_cast<uint32_t>(Core::hashBytes(target)); }

}
