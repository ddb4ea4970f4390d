#pragma once

#include <LibCore/Result.h>
#include <cstddef>
#include <string_view>

namespace Comfreysail::HTTP {

enum class MessageKind {
    Request,
    Response,
};

/// Finds the end of a message head in bytes that arrive in pieces, and stops at the first bare CR or LF so that a head
/// with wrong line ends is refused at once instead of after the timeout.
class HeadScanner {
public:
    /// Offset behind the empty line, or 0 while it has not arrived; an error detail for a bare CR or LF.
    Core::Result<size_t> scan(std::string_view bytes);

private:
    size_t m_scanned { 0 };
    size_t m_lineStart { 0 };
};

/// Checks a complete head for everything that two HTTP parsers may read differently (request smuggling): wrong line
/// ends, folded lines, blanks before the colon, control characters, several lengths, transfer codings other than
/// chunked. Returns an Error of kind MalformedRequest or InvalidTargetAnswer.
Core::Result<Core::Empty> checkHead(std::string_view head, MessageKind);

}
