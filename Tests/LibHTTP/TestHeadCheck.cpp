#include <LibHTTP/Fields.h>
#include <LibHTTP/HeadCheck.h>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace Comfreysail;
using namespace Comfreysail::HTTP;

namespace {

std::string const start = "GET / HTTP/1.1\r\nHost: a\r\n";

bool isAccepted(std::string const& head)
{
    HeadScanner scanner;
    auto const end = scanner.scan(head);
    return !isError(end) && valueOf(end) == head.size() && !isError(checkHead(head, MessageKind::Request));
}

}

TEST_CASE("HeadCheck_AmbiguousHead_IsRefused", "[HeadCheck]")
{
    // Each row is a request-smuggling input: a target could parse it as another request than the daemon does.
    std::vector<std::pair<std::string, std::string>> const rows {
        { "both lengths", start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" },
        { "two lengths", start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n" },
        { "list of lengths", start + "Content-Length: 3, 3\r\n\r\n" },
        { "signed length", start + "Content-Length: +3\r\n\r\n" },
        { "negative length", start + "Content-Length: -3\r\n\r\n" },
        { "empty length", start + "Content-Length:\r\n\r\n" },
        { "hexadecimal length", start + "Content-Length: 0x3\r\n\r\n" },
        { "overflowing length", start + "Content-Length: 99999999999999999999\r\n\r\n" },
        { "two codings", start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" },
        { "coding list", start + "Transfer-Encoding: gzip, chunked\r\n\r\n" },
        { "unknown coding", start + "Transfer-Encoding: xchunked\r\n\r\n" },
        { "identity coding", start + "Transfer-Encoding: identity\r\n\r\n" },
        { "blank before colon", start + "Content-Length : 3\r\n\r\n" },
        { "tab before colon", start + "Transfer-Encoding\t: chunked\r\n\r\n" },
        { "folded line", start + "X: a\r\n b\r\n\r\n" },
        { "folded first line", "GET / HTTP/1.1\r\n Host: a\r\n\r\n" },
        { "bare LF", start + "X: a\nY: b\r\n\r\n" },
        { "bare CR", start + "X: a\rY: b\r\n\r\n" },
        { "only LF", "GET / HTTP/1.1\nHost: a\n\n" },
        { "NUL in value", start + std::string("X: a\0b\r\n\r\n", 10) },
        { "no colon", start + "X\r\n\r\n" },
        { "empty name", start + ": a\r\n\r\n" },
        { "no host", "GET / HTTP/1.1\r\n\r\n" },
        { "two hosts", start + "Host: b\r\n\r\n" },
        { "blank in target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n" },
        { "leading blank", " GET / HTTP/1.1\r\nHost: a\r\n\r\n" },
        { "no target", "GET HTTP/1.1\r\nHost: a\r\n\r\n" },
        { "version 1.0", "GET / HTTP/1.0\r\nHost: a\r\n\r\n" },
        { "version 2", "GET / HTTP/2.0\r\nHost: a\r\n\r\n" },
        { "empty line first", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n" },
    };
    for (auto const& [name, head] : rows) {
        INFO(name);
        CHECK_FALSE(isAccepted(head));
    }
}

// Guards against a damaged response that is passed on as one, or read as an interim response with another one behind.
TEST_CASE("HeadCheck_ResponseHead_IsAcceptedOnlyIfItIsValid", "[HeadCheck]")
{
    auto const isAcceptedResponse
        = [](std::string const& head) { return !isError(checkHead(head + "\r\n", MessageKind::Response)); };
    for (auto const* const head :
        { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 599 \r\n", "HTTP/1.0 204\r\nX!#$: a b\r\n" })
        CHECK(isAcceptedResponse(head));
    for (auto const* const head :
        { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 2000 OK\r\n",
            "HTTP/1.1 20 OK\r\n", "HTTP/1.1 -20 OK\r\n", "HTTP/1.1 200\tOK\r\n", "HTTP/1.1 200 O\x01K\r\n",
            "HTTP/1.1  200 OK\r\n", "HTTP/1.1 200 OK\r\nBad Name: x\r\n", "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n",
            "HTTP/1.1 200 OK\r\nBad\x7fName: x\r\n", "HTTP/1.1 200 OK\r\nName : x\r\n" }) {
        CAPTURE(head);
        CHECK_FALSE(isAcceptedResponse(head));
    }
}

TEST_CASE("HeadCheck_ValidHead_IsAccepted", "[HeadCheck]")
{
    CHECK(isAccepted(start + "\r\n"));
    CHECK(isAccepted(start + "Content-Length: 3\r\nX: a b\tc\r\n\r\n"));
    CHECK(isAccepted(start + "Transfer-Encoding: Chunked\r\nEmpty:\r\n\r\n"));
}

TEST_CASE("HeadCheck_ByteByByte_EndsAtSamePlace", "[HeadCheck]")
{
    // Guards against a scanner that misses a line ending split between two receives.
    auto const head = start + "X: a\r\n\r\n";
    HeadScanner scanner;
    for (size_t size = 1; size < head.size(); ++size) {
        auto const end = scanner.scan(std::string_view(head).substr(0, size));
        REQUIRE_FALSE(isError(end));
        REQUIRE(valueOf(end) == 0);
    }
    CHECK(valueOf(scanner.scan(head + "GET")) == head.size());
}

TEST_CASE("Fields_HopByHop_AreRemoved", "[Fields]")
{
    Fields fields;
    for (auto const* name : { "Connection", "Keep-Alive", "TE", "Transfer-Encoding", "Upgrade", "X-Named", "X-Kept",
             "Comfreysail-Department", "Idempotency-Key" })
        fields.add(name, "a");
    fields.set("connection", "close, x-named, comfreysail-department, Idempotency-Key");
    removeHopByHopFields(fields);
    // A caller must not be able to strip its department or idempotency key by naming them in Connection.
    CHECK(fields.all()
        == std::vector<Field> { { "X-Kept", "a" }, { "Comfreysail-Department", "a" }, { "Idempotency-Key", "a" } });
}
