#include <catch2/catch.hpp>
#include <platform/Platform.h>

using namespace Comfreysail;
using namespace std::chrono_literals;

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

TEST_CASE("TargetSignals_EachFormOfRetryAfter_HasItsStatedMeaning")
{
    auto const timeOf = [](std::string const& value) { return signalsOf({ { "Retry-After", value } }).retryAfter; };
    CHECK(timeOf("2") == 2s);
    CHECK(timeOf("0.25") == 250ms);
    CHECK(timeOf("0") == 0s);
    CHECK(timeOf("100000000") == 300s);
    CHECK(signalsOf({ { "Retry-After", "1" }, { "Retry-After", "3" }, { "Retry-After", "2" } }).retryAfter == 3s);
    for (auto const* value : { "", "-1", "1e3", "nan", "Fri, 31 Dec 1999 23:59:59 GMT", "1.2.3", "9999999999999999" }) {
        CAPTURE(value);
        CHECK_FALSE(timeOf(value));
        CHECK(signalsOf({ { "Retry-After", value } }).invalidFields == std::vector<std::string> { "Retry-After" });
    }
}
