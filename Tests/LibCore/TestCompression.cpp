#include <LibCore/Core.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Comfreysail::Core;

TEST_CASE("Compression_AnyBytes_AreRestored")
{
    std::string const bytes
        = GENERATE(std::string(), std::string("short"), std::string(1'000'000, 'x'), std::string("\0\xff\r\n", 4));
    CHECK(decompress(compress(bytes), bytes.size()) == bytes);
}

// Guards against a damaged or hostile message that would allocate memory without bound.
TEST_CASE("Decompression_DamagedOrTooLargeFrame_IsRefused")
{
    auto const frame = compress(std::string(1'000'000, 'x'));
    CHECK_FALSE(decompress(frame, 999'999));
    CHECK_FALSE(decompress(frame.substr(0, frame.size() / 2), 1'000'000));
    CHECK_FALSE(decompress("not a frame", 1'000'000));
    CHECK_FALSE(decompress({}, 1'000'000));
    for (size_t position = 0; position < frame.size(); ++position) {
        auto damaged = frame;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x10);
        auto const bytes = decompress(damaged, 1'000'000);
        CHECK((!bytes || bytes->size() <= 1'000'000));
    }
}

// Guards against settings that take the whole link again although hardly anything has changed in them.
TEST_CASE("Compression_WithAnEarlierText_HoldsOnlyTheDifference")
{
    std::mt19937 generator(17);
    std::string base;
    while (base.size() < 1'000'000)
        base.push_back(static_cast<char>('a' + generator() % 26));
    auto changed = base;
    changed.replace(700'000, 5, "other");
    changed.insert(1000, std::string(3000, 'n'));
    auto const frame = compress(changed, base);
    CHECK(frame.size() < 2000);
    CHECK(compress(changed).size() > 100'000);
    CHECK(decompress(frame, changed.size(), base) == changed);
    CHECK_FALSE(decompress(frame, changed.size() - 1, base));
    CHECK_FALSE(decompress(frame, changed.size()));
    auto otherBase = base;
    otherBase[500'000] = '.';
    CHECK_FALSE(decompress(frame, changed.size(), otherBase));
    CHECK(decompress(compress("", base), 0, base) == "");
}
