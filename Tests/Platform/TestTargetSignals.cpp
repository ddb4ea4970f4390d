#include <catch2/catch.hpp>
#include <platform/Platform.h>

using namespace Comfreysail;

namespace {

Traffic::TargetSignals signalsOf(std::vector<HTTP::Field> const& fields)
{
    HTTP::Fields all;
    for (auto const& field : fields)
        all.add(field.name, field.value);
    return Platform::decodeTargetSignals(all);
}

}

TEST_CASE("TargetSignals_EachFormOfALimit_HasItsStatedMeaning")
{
    auto const limitOf = [](std::string const& value) {
        return signalsOf({ { "server-limit", value } }).requestsPerSecond;
    };
    CHECK(limitOf("2.5") == 2.5);
    CHECK(limitOf("12") == 12);
    CHECK(limitOf("0") == 0);
    for (auto const* value :
        { "", "-1", "+1", "1e3", "nan", "inf", "0x10", "1,5", "1.2.3", "1 ", "99999999999", "." }) {
        CAPTURE(value);
        CHECK_FALSE(limitOf(value));
        CHECK(signalsOf({ { "Server-Limit", value } }).invalidFields == std::vector<std::string> { "Server-Limit" });
    }
    CHECK(signalsOf({ { "Server-Limit", "5" }, { "Server-Limit", "x" }, { "Server-Limit", "3" } }).requestsPerSecond
        == 3);
    CHECK(signalsOf({}) == Traffic::TargetSignals {});
}

TEST_CASE("TargetSignals_EachFormOfLeaving_HasItsStatedMeaning")
{
    CHECK(signalsOf({ { "Server-Leaving", "1" } }).isLeaving);
    CHECK(signalsOf({ { "Server-Leaving", "0" }, { "Server-Leaving", "1" } }).isLeaving);
    CHECK(signalsOf({ { "Server-Leaving", "0" } }) == Traffic::TargetSignals {});
    for (auto const* value : { "", "yes", "1.0", "-1", "11", "true" }) {
        CAPTURE(value);
        auto const signals = signalsOf({ { "Server-Leaving", value } });
        CHECK_FALSE(signals.isLeaving);
        CHECK(signals.invalidFields == std::vector<std::string> { "Server-Leaving" });
    }
}
