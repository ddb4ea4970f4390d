#include <LibRetry/Retry.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Retry;

namespace {

constexpr uint64_t poison = 1;
constexpr uint64_t innocent = 2;

Core::Instant at(int seconds) { return Core::Instant(std::chrono::seconds(seconds)); }

struct QuarantineFixture {
    Quarantine quarantine { QuarantineLimits { .maxEntries = 4 } };
};

}

// A request that crashes its target would crash one target after another as its caller repeats it.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_TwoTargetsCrashed_RefusesFingerprint")
{
    quarantine.noteCrash({ poison, "target-1@1" }, at(0));
    CHECK(quarantine.isSuspect(poison, at(0)));
    CHECK_FALSE(quarantine.isRefused(poison, at(0)));
    quarantine.noteCrash({ poison, "target-2@1" }, at(1));
    CHECK(quarantine.isRefused(poison, at(1)));
    CHECK_FALSE(quarantine.isSuspect(poison, at(1)));
}

// A report can reach a daemon over several paths of the overlay. If it counted twice, the fingerprint would be refused
// after one crash.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_SameReportTwice_CountsOnce")
{
    quarantine.noteCrash({ poison, "target-1@1" }, at(0));
    quarantine.noteCrash({ poison, "target-1@1" }, at(1));
    CHECK_FALSE(quarantine.isRefused(poison, at(1)));
}

// A frequent request shares targets with the request that crashes them and must not be refused for that.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_SuspectAnswered_IsCleared")
{
    quarantine.noteCrash({ poison, "target-1@1" }, at(0));
    quarantine.noteCrash({ innocent, "target-1@1" }, at(0));
    quarantine.noteAnswered(innocent, at(1));
    quarantine.noteCrash({ poison, "target-2@1" }, at(2));
    quarantine.noteCrash({ innocent, "target-2@1" }, at(2));
    CHECK(quarantine.isRefused(poison, at(2)));
    CHECK_FALSE(quarantine.isRefused(innocent, at(2)));
}

// A late response to an earlier send must not clear a refused fingerprint.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_RefusedAnswered_StaysRefused")
{
    quarantine.noteCrash({ poison, "target-1@1" }, at(0));
    quarantine.noteCrash({ poison, "target-2@1" }, at(0));
    quarantine.noteAnswered(poison, at(1));
    CHECK(quarantine.isRefused(poison, at(1)));
}

// If a fingerprint were kept forever, the request would still be refused after its fault was corrected.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_RetentionPassed_RemovesFingerprint")
{
    quarantine.noteCrash({ poison, "target-1@1" }, at(0));
    quarantine.noteCrash({ poison, "target-2@1" }, at(0));
    CHECK(quarantine.isRefused(poison, at(599)));
    CHECK_FALSE(quarantine.isRefused(poison, at(600)));
    quarantine.noteCrash({ poison, "target-3@1" }, at(601));
    CHECK(quarantine.isSuspect(poison, at(601)));
}

// When a whole zone crashes, many fingerprints are reported. Memory must stay bounded, and the newest fingerprints must
// be kept.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_MoreFingerprintsThanEntries_DropsTheOldest")
{
    for (uint64_t fingerprint = 1; fingerprint <= 10; ++fingerprint)
        quarantine.noteCrash({ fingerprint, "target-1@1" }, at(static_cast<int>(fingerprint)));
    CHECK(quarantine.size() == 4);
    CHECK_FALSE(quarantine.isSuspect(6, at(10)));
    CHECK(quarantine.isSuspect(7, at(10)));
    CHECK(quarantine.entries(at(10)).size() == 4);
}

// Requests whose different parts concatenate to the same text must not have the same fingerprint.
TEST_CASE("Fingerprint_DifferentParts_Differ")
{
    CHECK(fingerprintOf({ "a", "bc", "/", "" }) != fingerprintOf({ "ab", "c", "/", "" }));
    CHECK(fingerprintOf({ "a", "GET", "/x", "1" }) != fingerprintOf({ "a", "GET", "/x", "2" }));
    CHECK(fingerprintOf({ "a", "GET", "/x", "1" }) == fingerprintOf({ "a", "GET", "/x", "1" }));
    std::string const longBody(maxFingerprintedBodyBytes, 'b');
    CHECK(fingerprintOf({ "a", "PUT", "/x", longBody }) == fingerprintOf({ "a", "PUT", "/x", longBody + "tail" }));
}
