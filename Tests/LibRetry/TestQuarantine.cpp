#include <LibRetry/Retry.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Retry;
using namespace std::chrono_literals;

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
    CHECK(quarantine.noteAnswered(innocent, at(0), at(1)));
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
    CHECK_FALSE(quarantine.noteAnswered(poison, at(-1), at(1)));
    CHECK(quarantine.isRefused(poison, at(1)));
}

// A frequent request is in flight on several targets that lose their power together. The responses to its retries show
// that it did not crash them.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_RefusedAnsweredToALaterSend_IsCleared")
{
    quarantine.noteCrash({ innocent, "target-1@1" }, at(0));
    quarantine.noteCrash({ innocent, "target-2@1" }, at(2));
    CHECK_FALSE(quarantine.noteAnswered(innocent, at(1), at(4)));
    CHECK(quarantine.noteAnswered(innocent, at(3), at(4)));
    CHECK_FALSE(quarantine.isRefused(innocent, at(4)));
    CHECK_FALSE(quarantine.noteAnswered(innocent, at(5), at(6)));
}

// Reports are read from the store in any order. An older crash must not make a fingerprint expire sooner.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_OlderCrashReportedLater_KeepsTheTimeOfTheLastOne")
{
    quarantine.noteCrash({ poison, "target-2@1" }, at(500));
    quarantine.noteCrash({ poison, "target-1@1" }, at(-90));
    CHECK(quarantine.isRefused(poison, at(1000)));
    CHECK_FALSE(quarantine.isRefused(poison, at(1100)));
}

// Another daemon found that the request crashes no target, and removed its reports.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine_ReportWithdrawn_CountsNoMore")
{
    quarantine.noteCrash({ poison, "target-1@1" }, at(0));
    quarantine.noteCrash({ poison, "target-2@1" }, at(0));
    quarantine.withdraw({ poison, "target-2@1" });
    quarantine.withdraw({ innocent, "target-2@1" });
    CHECK(quarantine.isSuspect(poison, at(1)));
    quarantine.withdraw({ poison, "target-1@1" });
    CHECK(quarantine.size() == 0);
}

// Other writers' rows and those of older builds are in the same table. None of them may be taken for another report.
TEST_CASE("CrashRow_AnyRow_IsParsedOrRefused")
{
    CrashReport const report { 0xab12, "target-1@17" };
    CHECK(parseCrashRow(crashRowKey(report), crashRowValue(90s)) == CrashRow { report, 90s });
    CHECK(parseCrashRow(crashRowKey(report), crashRowValue(-90s)) == CrashRow { report, -90s });
    for (auto const* value : { "", "soon", "12.5", "99999999999999999", "1e3", "5 " })
        CHECK(parseCrashRow(crashRowKey(report), value) == CrashRow { report, std::nullopt });
    for (auto const* key : { "", "-", "ab12", "zz-target", "ab12x-target", "10000000000000000-target" })
        CHECK_FALSE(parseCrashRow(key, "1"));
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
