#include <LibCore/Core.h>
#include <TestContent/TestContent.h>
#include <charconv>

namespace Comfreysail::TestContent {

namespace {

// The SplitMix64 finalizer: computes any word of a pseudo-random stream without the words before it.
uint64_t mixWord(uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

}

std::string requestChecksum(std::string_view method, std::string_view path, std::string_view body)
{
    std::string text;
    text.append(method).append(1, ' ').append(path).append(1, '\n').append(body);
    return Core::toHex(Core::hashBytes(text));
}

std::string answerBody(std::string_view requestId, std::string_view checksum)
{
    std::string body;
    body.append("request=").append(requestId).append(" checksum=").append(checksum).append(1, '\n');
    body.append(body.size() % 64 + 64, '.');
    return body;
}

void fillDownload(std::string_view path, uint64_t offset, std::span<char> into)
{
    auto const seed = Core::hashBytes(path);
    for (size_t index = 0; index < into.size();) {
        auto const position = offset + index;
        auto const word = mixWord(seed + position / 8);
        for (auto byte = position % 8; byte < 8 && index < into.size(); ++byte, ++index)
            into[index] = static_cast<char>(word >> (8 * byte));
    }
}

uint64_t downloadLength(std::string_view path)
{
    auto const digits = path.substr(path.rfind('/') + 1);
    uint64_t length = 0;
    auto const result = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    return result.ec == std::errc {} && result.ptr == digits.data() + digits.size() ? length : 0;
}

std::string downloadTag(std::string_view path) { return '"' + Core::toHex(Core::hashBytes(path)) + '"'; }

}
