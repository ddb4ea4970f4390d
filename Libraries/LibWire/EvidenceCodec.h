#pragma once

#include <LibMoves/EvidenceDelta.h>
#include <optional>

namespace Comfreysail::Protobuf {
class EvidenceDelta;
}

namespace Comfreysail::Wire {

void encodeEvidence(Moves::EvidenceDelta const&, Protobuf::EvidenceDelta&);

/// Nothing when an entry refers to a name or slot that the tables do not have.
std::optional<Moves::EvidenceDelta> decodeEvidence(Protobuf::EvidenceDelta const&);

}
