#include <LibCore/Core.h>
#include <catch2/catch.hpp>

using namespace Comfreysail::Core;

struct NameCase {
    std::string text;
    bool isValid;
};

// Names are used as row keys and metric labels; other characters would break both.
TEST_CASE("Names_CharactersAndLength_AreChecked")
{
    auto const example
        = GENERATE(values<NameCase>({ { "pos-hall", true }, { "v1.2", true }, { "", false }, { "-a", false },
            { "A", false }, { "a/b", false }, { std::string(64, 'a'), true }, { std::string(65, 'a'), false } }));
    CAPTURE(example.text);
    CHECK(isValidName(example.text) == example.isValid);
}

// A control character in the key could inject a header into the forwarded request.
TEST_CASE("IdempotencyKey_CharactersAndLength_AreChecked")
{
    auto const example = GENERATE(values<NameCase>({ { "order-1", true }, { "", false }, { "a b", false },
        { "a\r\nb", false }, { std::string(128, 'k'), true }, { std::string(129, 'k'), false } }));
    CAPTURE(example.text);
    CHECK(isValidIdempotencyKey(example.text) == example.isValid);
}

// Stored row keys depend on the hash, so it must not change between builds.
TEST_CASE("HexDigest_KnownInput_IsStable")
{
    CHECK(hexDigest("") == "99aa06d3014798d86001c324468d497f");
    CHECK(toHex(0xabcULL) == "0000000000000abc");
}
