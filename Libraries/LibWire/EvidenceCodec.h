#pragma once

#include <LibMoves/EvidenceDelta.h>
#include <optional>

namespace Comfreysail::Protobuf {
class EvidenceDelta;
}

namespace Comfreysail::Wire {

void encodeEvidence(Moves::EvidenceDelta const&, Protobuf::EvidenceDelta&);

/// Returns std::nullopt if the entries are incomplete, too many, or refer to an index that is not in the tables.
std::optional<Moves::EvidenceDelta> decodeEvidence(Protobuf::EvidenceDelta const&);

}
