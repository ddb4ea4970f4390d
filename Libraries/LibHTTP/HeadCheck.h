#pragma once

#include <LibCore/Result.h>
#include <cstddef>
#include <string_view>

namespace Comfreysail::HTTP {

enum class MessageKind {
    Request,
    Response,
};

/// Finds the end of a message head incrementally as bytes arrive. Fails at the first bare CR or LF, so that a head with
/// invalid line endings is rejected immediately instead of after the header timeout.
class HeadScanner {
public:
    /// `bytes` is everything received of the head so far. Returns the size of the head including its empty line, or 0
    /// if that line has not arrived yet. Error: MalformedRequest for a bare CR or LF, whatever the kind of message.
    Core::Result<size_t> scan(std::string_view bytes);

private:
    size_t m_scanned { 0 };
    size_t m_lineStart { 0 };
};

/// Checks a complete head for everything that two HTTP parsers may interpret differently (request smuggling): invalid
/// line endings, folded lines, whitespace before the colon, control characters, more than one length, transfer codings
/// other than chunked, and a status that does not exist. Errors: MalformedRequest for a request, InvalidTargetAnswer
/// for a response.
Core::Result<Core::Empty> checkHead(std::string_view head, MessageKind);

}
